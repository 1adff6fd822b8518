import type { JobCommand, JobDefinition, QueueSettings, StepSpec, WorkerInfo } from "@chestnutspool/types";
import { createJobMachine, type JobMachine } from "../job-machine.js";

/** Wall-clock time at which tests start, in milliseconds since the epoch. */
export const testStartMs = 1_000_000;

/** A step with one small task; `changes` replace fields of it. */
export function makeStep(changes: Partial<StepSpec> = {}): StepSpec {
    return {
        count: 1,
        resources: { milliCpu: 1_000, memoryMib: 100, accelerators: 0 },
        expectedRunMs: 1_000,
        dependsOn: [],
        checkpointing: false,
        gang: false,
        prefersOneRack: false,
        requiredLabel: undefined,
        rackOfData: undefined,
        perWorkerLimit: undefined,
        speculative: false,
        longRunning: false,
        image: undefined,
        tailTargetMs: undefined,
        usesIdleCpu: false,
        awayLimit: undefined,
        ...changes,
    };
}

/** A job that runs once. */
export function makeJob(id: string, steps: readonly StepSpec[] = [makeStep()]): JobDefinition {
    return { id, payload: `work of ${id}`, steps, occurrences: 1, firstAtMs: undefined, intervalMs: 0 };
}

/** A queue under `/main/`; `changes` replace fields of it. */
export function makeQueue(changes: Partial<QueueSettings> = {}): QueueSettings {
    return {
        name: "main",
        hostName: "jobs.example",
        path: "/main/",
        service: "pool",
        priority: 1,
        maxAttempts: 2,
        slackFactor: 2,
        targetLatencyMs: 500,
        timeoutMs: 3_000,
        advice: undefined,
        ...changes,
    };
}

/** A worker with four cores in rack `r0`; `changes` replace fields of it. */
export function makeWorker(id: string, changes: Partial<WorkerInfo> = {}): WorkerInfo {
    return {
        id,
        address: "127.0.0.1:1",
        service: "pool",
        availabilityZone: "z",
        capacity: { milliCpu: 4_000, memoryMib: 1_000, accelerators: 0 },
        labels: ["a", "r0"],
        ...changes,
    };
}

type WithoutTime<Command> = Command extends unknown ? Omit<Command, "nowMs"> : never;

/** A state machine that numbers its commands and gives them a time. */
export interface TestMachine extends JobMachine {
    readonly apply: (command: WithoutTime<JobCommand>, nowMs?: number) => ReturnType<JobMachine["applyCommand"]>;
    readonly submit: (definition: JobDefinition, path?: string) => ReturnType<JobMachine["applyCommand"]>;
}

/** A state machine with the given workers, queues, by default the queue `main`, and memory in bytes. */
export function makeMachine(
    workers: readonly WorkerInfo[] = [makeWorker("w1")],
    queues: readonly QueueSettings[] = [makeQueue()],
    budgetBytes = Number.POSITIVE_INFINITY,
): TestMachine {
    const machine = createJobMachine(budgetBytes);
    let index = 0;
    const apply: TestMachine["apply"] = (command, nowMs = testStartMs) => {
        index += 1;
        return machine.applyCommand(index, { ...command, nowMs });
    };
    apply({
        kind: "setConfiguration",
        configuration: {
            version: 1,
            queues,
            pools: [{ name: "pool", healthPath: "/health", guardsCapacity: false, isStandby: false }],
            bodyLimitBytes: 1_000,
            document: new Uint8Array(0),
        },
    });
    workers.forEach(worker => apply({ kind: "registerWorker", worker }));
    return {
        ...machine,
        apply,
        submit: (definition, path = "/main/") =>
            apply({ kind: "submitJob", spec: definition, hostName: "jobs.example", path: `${path}${definition.id}` }),
    };
}
