import { setTimeout as sleep } from "node:timers/promises";

const pollMs = 20;
const timeoutMs = 60_000;

/**
 * Waits until a condition holds; throws after 60 s, the time of the checks included. Runs without a fault take far less.
 */
export async function awaitCondition(
    name: string,
    condition: () => boolean | Promise<boolean>,
): Promise<void> {
    const startedMs = performance.now();
    while (!(await condition())) {
        if (performance.now() - startedMs >= timeoutMs) {
            throw new Error(`condition not met within ${timeoutMs} ms: ${name}`);
        }
        await sleep(pollMs);
    }
}
