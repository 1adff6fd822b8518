import type { TestProcess } from "@chestnutspool/cli/fakes";
import { setTimeout as sleep } from "node:timers/promises";
import { createTimeHistogram, formatTimes, type TimeHistogram } from "../../support/histogram.js";
import { type MeasuredSystem, sendRequest, startMeasuredSystem } from "../../support/start-system.js";

const trialCount = 10;
const entryCount = 4;
const minionCount = 8;
const probeKeys = 64;
const probePauseMs = 25;
const probeLimitMs = 30_000;

/** Sends one request for each of many keys again and again until every key was answered; returns the times until then. */
async function measureBlocked(system: MeasuredSystem, killed: number, trial: number): Promise<{
    readonly everyKeyMs: number;
    readonly blockedKeys: number;
    readonly allSlotsMs: number;
}> {
    const startedMs = performance.now();
    const survivors = system.clients.filter((unused, index) => index !== killed);
    let blockedKeys = 0;
    const probe = async (key: number): Promise<void> => {
        for (let attempt = 0; performance.now() - startedMs < probeLimitMs; attempt += 1) {
            const client = survivors[key % survivors.length]!;
            const requestId = `loss-${trial}-${key}`;
            const answered = await sendRequest(client.caller, { runMs: 1, requestId }).then(() => true, () => false);
            if (answered) {
                blockedKeys += attempt > 0 ? 1 : 0;
                return;
            }
            await sleep(probePauseMs);
        }
        throw new Error(`key ${key} was not answered within ${probeLimitMs} ms`);
    };
    const probes = Promise.all(Array.from({ length: probeKeys }, (unused, key) => probe(key)));
    const slots = measureAllSlots(system, killed, startedMs);
    await probes;
    const everyKeyMs = performance.now() - startedMs;
    return { everyKeyMs, blockedKeys, allSlotsMs: await slots };
}

/** Time until every minion has started a request after the loss. */
async function measureAllSlots(system: MeasuredSystem, killed: number, startedMs: number): Promise<number> {
    const survivors = system.clients.filter((unused, index) => index !== killed);
    const counts = system.targets.minions.map(minion => minion.listRuns().length);
    const isServing = (): boolean =>
        system.targets.minions.every((minion, index) => minion.listRuns().length > counts[index]!);
    while (!isServing() && performance.now() - startedMs < probeLimitMs) {
        await Promise.all(
            survivors.flatMap(client =>
                Array.from({ length: 12 }, () => sendRequest(client.caller, { runMs: 20 }).catch(() => undefined))
            ),
        );
    }
    return performance.now() - startedMs;
}

function print(name: string, histogram: TimeHistogram): void {
    console.log(`| ${name} | ${formatTimes(histogram)} |`);
}

/** Kills one entry process again and again and measures how long keys and minions of it are blocked. */
export async function measureEntryLoss(): Promise<void> {
    const system = await startMeasuredSystem(entryCount, minionCount);
    const keys = createTimeHistogram();
    const slots = createTimeHistogram();
    let blocked = 0;
    try {
        const running: TestProcess[] = [...system.group.entries];
        for (let trial = 0; trial < trialCount; trial += 1) {
            const killed = trial % running.length;
            await running[killed]!.kill();
            const result = await measureBlocked(system, killed, trial);
            keys.recordMs(result.everyKeyMs);
            slots.recordMs(result.allSlotsMs);
            blocked += result.blockedKeys;
            running[killed] = await system.group.restart(running[killed]!.id);
            await sleep(2_000);
        }
        console.log(
            `${trialCount} trials, ${entryCount} entry processes, ${minionCount} minions, longest run 2,000 ms; `
                + `${(blocked / trialCount).toFixed(1)} of ${probeKeys} keys were blocked on average`,
        );
        console.log("| until | p50 ms | p90 ms | p99 ms | max ms |");
        console.log("|---|---|---|---|---|");
        print("every key is served", keys);
        print("every minion is used", slots);
    }
    finally {
        await system.close();
    }
}
