import { setTimeout as sleep } from "node:timers/promises";
import { createTimeHistogram, formatTimes } from "../../support/histogram.js";
import { startMeasuredSystem } from "../../support/start-system.js";

const entryCount = 8;
const changeCount = 50;
const pollMs = 2;
const revisionTimeoutMs = 20_000;
const freezeMs = 6_000;

/** Measures the time until an accepted revision is in force at every entry process, and at one that was frozen. */
export async function measureConfiguration(): Promise<void> {
    const system = await startMeasuredSystem(entryCount, 1);
    try {
        const { clients, group } = system;
        const operator = clients[0]!.operator;
        const readRevision = async (index: number): Promise<bigint> =>
            (await clients[index]!.operator.getHealth({})).configurationRevision;
        const awaitRevision = async (index: number, revision: bigint): Promise<void> => {
            const startedAtMs = performance.now();
            while (await readRevision(index) < revision) {
                if (performance.now() - startedAtMs > revisionTimeoutMs) {
                    throw new Error(`entry ${index} did not reach revision ${revision}`);
                }
                await sleep(pollMs);
            }
        };
        let revision = (await operator.getConfiguration({})).configuration?.revision ?? 0n;
        const setNextRevision = async (): Promise<void> => {
            const response = await operator.setConfiguration({
                operatorRequestId: `measure-${revision}`,
                entries: { measured: String(revision) },
                expectedRevision: revision,
            });
            revision = response.revision;
        };
        const allTimes = createTimeHistogram();
        const indexes = clients.map((unused, index) => index);
        for (let ordinal = 0; ordinal < changeCount; ordinal += 1) {
            await setNextRevision();
            const acceptedAtMs = performance.now();
            await Promise.all(indexes.map(index => awaitRevision(index, revision)));
            allTimes.recordMs(performance.now() - acceptedAtMs);
        }
        const frozenIndex = entryCount - 1;
        process.kill(group.entries[frozenIndex]!.processId, "SIGSTOP");
        const otherTimes = createTimeHistogram();
        const frozenAtMs = performance.now();
        while (performance.now() - frozenAtMs < freezeMs) {
            await setNextRevision();
            const acceptedAtMs = performance.now();
            await Promise.all(
                indexes.filter(index => index !== frozenIndex).map(index => awaitRevision(index, revision)),
            );
            otherTimes.recordMs(performance.now() - acceptedAtMs);
        }
        process.kill(group.entries[frozenIndex]!.processId, "SIGCONT");
        const resumedAtMs = performance.now();
        await awaitRevision(frozenIndex, revision);
        const catchUpMs = performance.now() - resumedAtMs;
        console.log(`${entryCount} entry processes, polled every ${pollMs} ms, from the acceptance`);
        console.log("| until in force at | changes | p50 ms | p90 ms | p99 ms | max ms |");
        console.log("|---|---|---|---|---|---|");
        console.log(`| all ${entryCount} | ${allTimes.countValues()} | ${formatTimes(allTimes)} |`);
        console.log(
            `| the other ${entryCount - 1}, one frozen | ${otherTimes.countValues()} | ${formatTimes(otherTimes)} |`,
        );
        console.log(
            `the frozen one, ${otherTimes.countValues()} revisions behind, had the last one ${
                catchUpMs.toFixed(0)
            } ms after it was woken`,
        );
    }
    finally {
        await system.close();
    }
}
