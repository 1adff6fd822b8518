import { createClusterMachine } from "@chestnutspool/cluster-state";
import type { ControlCommand, WorkSpec } from "@chestnutspool/types";

const workerCount = 1_300;
const tenantCount = 32;
/** Tasks that run at the target size: 3,300 latency-critical and 13,000 batch. */
const runningCount = 16_300;
/** Jobs of one day, which stay readable for 24 h. */
const finishedCount = 24_000;
const cancelCount = 10_000;
/** Jobs between two snapshots, which are 10,000 log entries apart; each job takes two or three entries. */
const jobsBetweenSnapshots = 3_000;
const startMs = 1_700_000_000_000;

type WithoutTime<Command> = Command extends unknown ? Omit<Command, "nowMs"> : never;

/** Creates a state machine, functions that apply commands to it, and the index of its last command. */
function createMeasuredMachine() {
    const machine = createClusterMachine();
    let index = 0;
    const apply = (command: WithoutTime<ControlCommand>) => {
        index += 1;
        return machine.applyCommand(index, { ...command, nowMs: startMs + index });
    };
    const applyJob = (name: string, tenant: string) => {
        const resources = { milliCpu: 1_000, memoryMib: 1_000, accelerators: 0 };
        const base = { name, tenant, resources, interferenceClass: "batch", command: "run-ms=60000" };
        const spec: WorkSpec = {
            ...base,
            kind: "job",
            tasks: 1,
            deadlineAtMs: undefined,
            expectedRunMs: 60_000,
            maxAttempts: 3,
        };
        apply({
            kind: "operatorChange",
            operatorRequestId: name,
            change: { kind: "applyWork", spec, expectedRevision: 0 },
        });
    };
    const runTask = (task: string, worker: string) => {
        apply({ kind: "placeTask", task, worker, previousToken: 0 });
        const token = machine.state.tasks.get(task)?.token ?? 0;
        apply({ kind: "confirmStart", task, token });
        return token;
    };
    return { machine, apply, applyJob, runTask, readIndex: () => index };
}

function measureMs(run: () => void): number {
    const startedAtMs = performance.now();
    run();
    return performance.now() - startedAtMs;
}

/** Prints the cost of the state at the target size: commands, memory, snapshots and a bulk cancellation. */
export function measureState(): void {
    const heapBefore = process.memoryUsage().heapUsed;
    const { machine, apply, applyJob, runTask, readIndex } = createMeasuredMachine();
    const quota = { milliCpu: 1_000_000_000, memoryMib: 1_000_000_000, accelerators: 1_000 };
    for (let tenant = 0; tenant < tenantCount; tenant += 1) {
        const change = { kind: "applyTenant", tenant: `t${tenant}`, quota, weight: 1, expectedRevision: 0 } as const;
        apply({ kind: "operatorChange", operatorRequestId: `t${tenant}`, change });
    }
    const capacity = { milliCpu: 32_000, memoryMib: 125_000, accelerators: 2 };
    for (let worker = 0; worker < workerCount; worker += 1) {
        const identity = { worker: `w${worker}`, incarnation: "first", availabilityZone: "a", rack: "r" };
        apply({ kind: "registerWorker", ...identity, capacity });
    }
    const fillMs = measureMs(() => {
        for (let job = 0; job < finishedCount + runningCount; job += 1) {
            applyJob(`j${job}`, `t${job % tenantCount}`);
            const token = runTask(`j${job}/0`, `w${job % workerCount}`);
            if (job < finishedCount) {
                apply({ kind: "endTask", task: `j${job}/0`, token, outcome: "succeeded", reason: "" });
            }
        }
    });
    const commands = readIndex();
    let bytes: Uint8Array = new Uint8Array();
    const firstSnapshotMs = measureMs(() => {
        bytes = machine.takeSnapshot();
    });
    for (let job = 0; job < jobsBetweenSnapshots; job += 1) {
        applyJob(`n${job}`, `t${job % tenantCount}`);
        runTask(`n${job}/0`, `w${job % workerCount}`);
    }
    const nextSnapshotMs = measureMs(() => machine.takeSnapshot());
    const restored = createClusterMachine();
    const restoreMs = measureMs(() => restored.restoreSnapshot(bytes));
    const restoredSnapshotMs = measureMs(() => restored.takeSnapshot());
    for (let job = 0; job < cancelCount; job += 1) {
        applyJob(`c${job}`, `t${job % tenantCount}`);
    }
    const names = Array.from({ length: cancelCount }, (item, job) => `c${job}`);
    const cancelMs = measureMs(() => {
        apply({ kind: "operatorChange", operatorRequestId: "cancel", change: { kind: "cancelWorks", names } });
    });
    const heapMib = (process.memoryUsage().heapUsed - heapBefore) / 2 ** 20;
    console.log(`${workerCount} workers, ${runningCount} running tasks, ${finishedCount} finished jobs`);
    console.log("| measure | value |");
    console.log("|---|---|");
    console.log(`| applied commands a second | ${Math.round(commands / fillMs * 1_000)} |`);
    console.log(`| snapshot size | ${(bytes.length / 2 ** 20).toFixed(1)} MiB |`);
    console.log(`| time to take a snapshot without an earlier one | ${firstSnapshotMs.toFixed(0)} ms |`);
    console.log(`| time to take one after ${jobsBetweenSnapshots} further jobs | ${nextSnapshotMs.toFixed(0)} ms |`);
    console.log(`| time to restore it | ${restoreMs.toFixed(0)} ms |`);
    console.log(`| time to take one after the restore | ${restoredSnapshotMs.toFixed(0)} ms |`);
    console.log(`| one cancellation of ${cancelCount} works | ${cancelMs.toFixed(0)} ms |`);
    console.log(`| heap of two such states | ${heapMib.toFixed(0)} MiB |`);
}
