import { awaitCondition, type TestProcess } from "@chestnutspool/cli/fakes";
import { setTimeout as sleep } from "node:timers/promises";
import { readProcessUsage } from "../../support/process-usage.js";
import { type MeasuredSystem, measuredTenant, startMeasuredSystem } from "../../support/start-system.js";

const workerCounts = [10, 100, 300];
const tasksPerWorker = 12;
const taskSize = { milliCpu: 600, memoryMib: 512, accelerators: 0 };
const settleMs = 5_000;
const observationMs = 20_000;

async function startTasks(system: MeasuredSystem, workers: number): Promise<void> {
    const { operator } = system.clients[0]!;
    const tasks = workers * tasksPerWorker;
    await operator.applyWork({
        operatorRequestId: "measure-capacity",
        work: {
            name: "capacity",
            tenant: measuredTenant,
            resources: taskSize,
            command: "run-ms=100000000",
            kind: { case: "job", value: { tasks, expectedRunMs: 100_000_000 } },
        },
    });
    await awaitCondition(`${tasks} running tasks`, async () => {
        const response = await operator.getWork({ name: "capacity" });
        return response.work?.tasksByPhase["running"] === tasks;
    });
}

async function findLeader(system: MeasuredSystem): Promise<string> {
    const { members } = await system.clients[0]!.operator.listMembers({});
    return members.find(member => member.leader)?.id ?? "";
}

async function measureWorkerCount(workers: number): Promise<void> {
    const system = await startMeasuredSystem(2, 2, workers);
    try {
        const startedAtMs = performance.now();
        await startTasks(system, workers);
        const allRunningMs = performance.now() - startedAtMs;
        await sleep(settleMs);
        const leader = await findLeader(system);
        const rows: readonly (readonly [string, readonly TestProcess[]])[] = [
            ["control leader", system.group.controls.filter(process => process.id === leader)],
            ["control follower", system.group.controls.filter(process => process.id !== leader)],
            ["entry", system.group.entries],
        ];
        const readUsages = () =>
            rows.map(([, processes]) => processes.map(process => readProcessUsage(process.processId)));
        const before = readUsages();
        await sleep(observationMs);
        const after = readUsages();
        for (const [index, [role, processes]] of rows.entries()) {
            const cpuMs = after[index]!.reduce(
                (sum, usage, position) => sum + usage.cpuMs - before[index]![position]!.cpuMs,
                0,
            );
            const residentMib = after[index]!.reduce((sum, usage) => sum + usage.residentMib, 0);
            const shareOfEach = (cpuMs / processes.length / observationMs * 100).toFixed(1);
            const shareOfAll = (cpuMs / observationMs * 100).toFixed(1);
            const cells = [
                workers,
                role,
                processes.length,
                `${shareOfEach}%`,
                `${shareOfAll}%`,
                (residentMib / processes.length).toFixed(0),
            ];
            console.log(`| ${cells.join(" | ")} | ${(allRunningMs / 1_000).toFixed(1)} |`);
        }
    }
    finally {
        await system.close();
    }
}

/** Prints processor time and memory of each role by number of workers, while all tasks run and the workers sync. */
export async function measureCapacity(): Promise<void> {
    console.log(`${tasksPerWorker} tasks a worker, 3 control and 2 entry processes, ${observationMs / 1_000} s each`);
    console.log(
        "| workers | role | processes | share of a core each | share of a core in all | resident MiB each | all tasks running after s |",
    );
    console.log("|---|---|---|---|---|---|---|");
    for (const workers of workerCounts) {
        await measureWorkerCount(workers);
    }
}
