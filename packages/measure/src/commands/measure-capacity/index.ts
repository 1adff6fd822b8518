import { awaitCondition, type TestProcess } from "@chestnutspool/cli/fakes";
import { setTimeout as sleep } from "node:timers/promises";
import { readProcessUsage } from "../../support/process-usage.js";
import { type MeasuredSystem, measuredTenant, startMeasuredSystem } from "../../support/start-system.js";

const workerCounts = [10, 100, 300];
const tasksPerWorker = 12;
const taskSize = { milliCpu: 600, memoryMib: 512, accelerators: 0 };
const settleMs = 5_000;
const observeMs = 20_000;

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

async function measureOne(workers: number): Promise<void> {
    const system = await startMeasuredSystem(2, 2, workers);
    try {
        const startedMs = performance.now();
        await startTasks(system, workers);
        const startMs = performance.now() - startedMs;
        await sleep(settleMs);
        const leader = await findLeader(system);
        const rows: readonly (readonly [string, readonly TestProcess[]])[] = [
            ["control leader", system.group.controls.filter(process => process.id === leader)],
            ["control follower", system.group.controls.filter(process => process.id !== leader)],
            ["entry", system.group.entries],
        ];
        const readAll = () =>
            rows.map(([, processes]) => processes.map(process => readProcessUsage(process.processId)));
        const before = readAll();
        await sleep(observeMs);
        const after = readAll();
        for (const [index, [role, processes]] of rows.entries()) {
            const cpuMs = after[index]!.reduce(
                (sum, usage, place) => sum + usage.cpuMs - before[index]![place]!.cpuMs,
                0,
            );
            const resident = after[index]!.reduce((sum, usage) => sum + usage.residentMib, 0);
            const share = (cpuMs / processes.length / observeMs * 100).toFixed(1);
            const all = (cpuMs / observeMs * 100).toFixed(1);
            const cells = [
                workers,
                role,
                processes.length,
                `${share}%`,
                `${all}%`,
                (resident / processes.length).toFixed(0),
            ];
            console.log(`| ${cells.join(" | ")} | ${(startMs / 1_000).toFixed(1)} |`);
        }
    }
    finally {
        await system.close();
    }
}

/** Prints processor time and memory of each role by number of workers, each with its tasks running and syncing. */
export async function measureCapacity(): Promise<void> {
    console.log(`${tasksPerWorker} tasks a worker, 3 control and 2 entry processes, ${observeMs / 1_000} s each`);
    console.log(
        "| workers | role | processes | share of a core each | share of a core in all | resident MiB each | all tasks running after s |",
    );
    console.log("|---|---|---|---|---|---|---|");
    for (const workers of workerCounts) {
        await measureOne(workers);
    }
}
