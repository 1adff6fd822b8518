import { setTimeout as sleep } from "node:timers/promises";

const pollMs = 20;
const limitMs = 60_000;

/** Waits until a condition holds, for at most a minute, the time of the checks included; no sound run comes near it. */
export async function awaitCondition(
    name: string,
    condition: () => boolean | Promise<boolean>,
): Promise<void> {
    const startedMs = performance.now();
    while (!(await condition())) {
        if (performance.now() - startedMs >= limitMs) {
            throw new Error(`not reached within ${limitMs} ms of waiting: ${name}`);
        }
        await sleep(pollMs);
    }
}
