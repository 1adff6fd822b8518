/** Runs a function again and again in a number of lanes until a count is reached. */
export async function runLanes(lanes: number, count: number, run: (ordinal: number) => Promise<void>): Promise<void> {
    let next = 0;
    const runLane = async (): Promise<void> => {
        while (next < count) {
            const ordinal = next;
            next += 1;
            await run(ordinal);
        }
    };
    await Promise.all(Array.from({ length: lanes }, runLane));
}
