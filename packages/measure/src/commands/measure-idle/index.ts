import { setTimeout as sleep } from "node:timers/promises";
import { readProcessUsage } from "../../support/process-usage.js";
import { startMeasuredSystem } from "../../support/start-system.js";

const settleMs = 5_000;
const observationMs = 30_000;
const entryCount = 8;
const minionCount = 30;
const workerCount = 30;

/** Prints processor time and memory of each process while the system has announced targets but no requests. */
export async function measureIdle(): Promise<void> {
    const system = await startMeasuredSystem(entryCount, minionCount, workerCount);
    try {
        await sleep(settleMs);
        const processes = [...system.group.controls, ...system.group.entries];
        const before = processes.map(process => readProcessUsage(process.processId));
        await sleep(observationMs);
        console.log(
            `${entryCount} entry and 3 control processes, ${minionCount} minions, ${workerCount} workers, `
                + `no requests, ${observationMs / 1_000} s`,
        );
        console.log("| process | share of a core | resident MiB |");
        console.log("|---|---|---|");
        for (const [index, process] of processes.entries()) {
            const usage = readProcessUsage(process.processId);
            const share = (usage.cpuMs - before[index]!.cpuMs) / observationMs * 100;
            console.log(`| ${process.id} | ${share.toFixed(2)}% | ${usage.residentMib.toFixed(0)} |`);
        }
    }
    finally {
        await system.close();
    }
}
