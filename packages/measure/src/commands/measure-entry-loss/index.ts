import type { TestProcess } from "@chestnutspool/cli/fakes";
import { setTimeout as sleep } from "node:timers/promises";
import { createTimeHistogram, formatTimes, type TimeHistogram } from "../../support/histogram.js";
import { type MeasuredSystem, sendRequest, startMeasuredSystem } from "../../support/start-system.js";

const trialCount = 10;
const entryCount = 4;
const minionCount = 8;
const probeKeys = 64;
const probePauseMs = 25;
const probeTimeoutMs = 30_000;

/** Retries one request for each key until it is answered, and measures the time until every key is answered. */
async function measureRecovery(system: MeasuredSystem, killedIndex: number, trial: number): Promise<{
    readonly everyKeyMs: number;
    readonly blockedKeys: number;
    readonly everyMinionMs: number;
}> {
    const startedAtMs = performance.now();
    const survivors = system.clients.filter((unused, index) => index !== killedIndex);
    let blockedKeys = 0;
    const probe = async (key: number): Promise<void> => {
        for (let attempt = 0; performance.now() - startedAtMs < probeTimeoutMs; attempt += 1) {
            const client = survivors[key % survivors.length]!;
            const requestId = `loss-${trial}-${key}`;
            const answered = await sendRequest(client.caller, { runMs: 1, requestId }).then(() => true, () => false);
            if (answered) {
                blockedKeys += attempt > 0 ? 1 : 0;
                return;
            }
            await sleep(probePauseMs);
        }
        throw new Error(`key ${key} was not answered within ${probeTimeoutMs} ms`);
    };
    const probes = Promise.all(Array.from({ length: probeKeys }, (unused, key) => probe(key)));
    const everyMinion = measureMinionRecovery(system, killedIndex, startedAtMs);
    await probes;
    const everyKeyMs = performance.now() - startedAtMs;
    return { everyKeyMs, blockedKeys, everyMinionMs: await everyMinion };
}

/** Time in milliseconds from the loss until every minion has started a request. */
async function measureMinionRecovery(
    system: MeasuredSystem,
    killedIndex: number,
    startedAtMs: number,
): Promise<number> {
    const survivors = system.clients.filter((unused, index) => index !== killedIndex);
    const counts = system.targets.minions.map(minion => minion.listRuns().length);
    const isEveryMinionUsed = (): boolean =>
        system.targets.minions.every((minion, index) => minion.listRuns().length > counts[index]!);
    while (!isEveryMinionUsed() && performance.now() - startedAtMs < probeTimeoutMs) {
        await Promise.all(
            survivors.flatMap(client =>
                Array.from({ length: 12 }, () => sendRequest(client.caller, { runMs: 20 }).catch(() => undefined))
            ),
        );
    }
    return performance.now() - startedAtMs;
}

function printRow(name: string, histogram: TimeHistogram): void {
    console.log(`| ${name} | ${formatTimes(histogram)} |`);
}

/** Kills one entry process in each trial and measures how long its keys and minions are blocked. */
export async function measureEntryLoss(): Promise<void> {
    const system = await startMeasuredSystem(entryCount, minionCount);
    const keyTimes = createTimeHistogram();
    const minionTimes = createTimeHistogram();
    let totalBlockedKeys = 0;
    try {
        const running: TestProcess[] = [...system.group.entries];
        for (let trial = 0; trial < trialCount; trial += 1) {
            const killedIndex = trial % running.length;
            await running[killedIndex]!.kill();
            const result = await measureRecovery(system, killedIndex, trial);
            keyTimes.recordMs(result.everyKeyMs);
            minionTimes.recordMs(result.everyMinionMs);
            totalBlockedKeys += result.blockedKeys;
            running[killedIndex] = await system.group.restart(running[killedIndex]!.id);
            await sleep(2_000);
        }
        console.log(
            `${trialCount} trials, ${entryCount} entry processes, ${minionCount} minions, longest run 2,000 ms; `
                + `${(totalBlockedKeys / trialCount).toFixed(1)} of ${probeKeys} keys were blocked on average`,
        );
        console.log("| until | p50 ms | p90 ms | p99 ms | max ms |");
        console.log("|---|---|---|---|---|");
        printRow("every key is served", keyTimes);
        printRow("every minion is used", minionTimes);
    }
    finally {
        await system.close();
    }
}
