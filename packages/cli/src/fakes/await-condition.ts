import { setTimeout as sleep } from "node:timers/promises";

const pollMs = 20;
const limitMs = 60_000;

/** Waits until a condition holds, for at most a minute, which no sound run comes near. */
export async function awaitCondition(
    name: string,
    condition: () => boolean | Promise<boolean>,
): Promise<void> {
    for (let waitedMs = 0; !(await condition()); waitedMs += pollMs) {
        if (waitedMs >= limitMs) {
            throw new Error(`not reached within ${limitMs} ms of waiting: ${name}`);
        }
        await sleep(pollMs);
    }
}
