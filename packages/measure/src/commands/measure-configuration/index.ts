import { setTimeout as sleep } from "node:timers/promises";
import { createTimeHistogram, formatTimes } from "../../support/histogram.js";
import { startMeasuredSystem } from "../../support/start-system.js";

const entryCount = 8;
const changeCount = 50;
const pollMs = 2;
const limitMs = 20_000;
const frozenMs = 6_000;

/** Measures the time until an accepted revision is in force at every entry process, and at one that was frozen. */
export async function measureConfiguration(): Promise<void> {
    const system = await startMeasuredSystem(entryCount, 1);
    try {
        const { clients, group } = system;
        const operator = clients[0]!.operator;
        const readRevision = async (index: number): Promise<bigint> =>
            (await clients[index]!.operator.getHealth({})).configurationRevision;
        const awaitRevision = async (index: number, revision: bigint): Promise<void> => {
            const startedMs = performance.now();
            while (await readRevision(index) < revision) {
                if (performance.now() - startedMs > limitMs) {
                    throw new Error(`entry ${index} did not reach revision ${revision}`);
                }
                await sleep(pollMs);
            }
        };
        let revision = (await operator.getConfiguration({})).configuration?.revision ?? 0n;
        const change = async (): Promise<void> => {
            const response = await operator.setConfiguration({
                operatorRequestId: `measure-${revision}`,
                entries: { measured: String(revision) },
                expectedRevision: revision,
            });
            revision = response.revision;
        };
        const all = createTimeHistogram();
        const indexes = clients.map((unused, index) => index);
        for (let ordinal = 0; ordinal < changeCount; ordinal += 1) {
            await change();
            const acceptedMs = performance.now();
            await Promise.all(indexes.map(index => awaitRevision(index, revision)));
            all.recordMs(performance.now() - acceptedMs);
        }
        const frozen = entryCount - 1;
        process.kill(group.entries[frozen]!.processId, "SIGSTOP");
        const others = createTimeHistogram();
        const frozenAtMs = performance.now();
        while (performance.now() - frozenAtMs < frozenMs) {
            await change();
            const acceptedMs = performance.now();
            await Promise.all(indexes.filter(index => index !== frozen).map(index => awaitRevision(index, revision)));
            others.recordMs(performance.now() - acceptedMs);
        }
        process.kill(group.entries[frozen]!.processId, "SIGCONT");
        const wokenMs = performance.now();
        await awaitRevision(frozen, revision);
        const behindMs = performance.now() - wokenMs;
        console.log(`${entryCount} entry processes, polled every ${pollMs} ms, from the acceptance`);
        console.log("| until in force at | changes | p50 ms | p90 ms | p99 ms | max ms |");
        console.log("|---|---|---|---|---|---|");
        console.log(`| all ${entryCount} | ${all.countValues()} | ${formatTimes(all)} |`);
        console.log(`| the other ${entryCount - 1}, one frozen | ${others.countValues()} | ${formatTimes(others)} |`);
        console.log(
            `the frozen one, ${others.countValues()} revisions behind, had the last one ${
                behindMs.toFixed(0)
            } ms after it was woken`,
        );
    }
    finally {
        await system.close();
    }
}
