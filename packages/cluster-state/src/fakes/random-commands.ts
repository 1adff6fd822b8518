import {
    type ClusterState,
    computeShard,
    type ControlCommand,
    type OperatorChange,
    type WorkSpec,
} from "@chestnutspool/types";
import fc from "fast-check";

/** One random step; its numbers select tasks, workers and other objects from the state at that time. */
export interface Step {
    readonly kind: ControlCommand["kind"];
    readonly first: number;
    readonly second: number;
    readonly elapsedMs: number;
}

const weights: Readonly<Record<ControlCommand["kind"], number>> = {
    operatorChange: 8,
    registerWorker: 4,
    expireWorker: 1,
    setAsideWorker: 1,
    placeTask: 12,
    confirmStart: 6,
    recordCheckpoint: 5,
    endTask: 7,
    requestEviction: 5,
    throttleTask: 1,
    rejectTask: 1,
    openSession: 3,
    expireEntry: 1,
    drainSession: 1,
    registerMinion: 3,
    removeMinion: 1,
    rebalanceOwnership: 2,
    moveOwnership: 5,
    beginRequest: 6,
    finishRequest: 5,
    batch: 8,
};

/** Generates steps of all kinds of command. */
export const anyStep: fc.Arbitrary<Step> = fc.record({
    kind: fc.oneof(
        ...Object.entries(weights).map(([kind, weight]) => ({
            weight,
            arbitrary: fc.constant(kind as ControlCommand["kind"]),
        })),
    ),
    first: fc.nat(1_000),
    second: fc.nat(1_000),
    elapsedMs: fc.nat(2_000),
});

function pick<Value>(values: Iterable<Value>, choice: number): Value | undefined {
    const list = [...values];
    return list[choice % Math.max(1, list.length)];
}

/** A spec whose kind depends on its name, so that later changes are accepted. */
export function makeSpec(name: string, size: number): WorkSpec {
    const base = {
        name,
        tenant: "hakata",
        resources: { milliCpu: 500 * (1 + size % 4), memoryMib: 256, accelerators: size % 2 },
        interferenceClass: "plain",
        command: "run",
    };
    if (name.startsWith("service")) {
        return { ...base, kind: "service", replicas: size % 4, maxRunMs: 1_000 };
    }
    return name.startsWith("job")
        ? { ...base, kind: "job", tasks: 1 + size % 3, deadlineAtMs: undefined, expectedRunMs: 10, maxAttempts: 2 }
        : { ...base, kind: "watch", checkpointIntervalMs: 100 };
}

function makeChange(state: ClusterState, { first, second }: Step): OperatorChange {
    const name = pick(["service-a", "job-a", "job-b", "watch-a", "watch-b", "watch-c"], second) ?? "";
    switch (first % 8) {
        case 0:
            return { kind: "cancelWorks", names: [name] };
        case 1:
            return {
                kind: "setConfiguration",
                entries: { [name]: String(second) },
                removedKeys: [],
                expectedRevision: state.configuration.revision,
            };
        case 2:
            return {
                kind: "setWorkerAdmission",
                worker: `worker-${second % 3}`,
                admission: second % 2 === 0 ? "open" : "draining",
            };
        case 3:
            return second % 2 === 0
                ? { kind: "drainEntry", entry: `entry-${second % 4}` }
                : {
                    kind: "setZoneAdmission",
                    availabilityZone: "a",
                    admission: second % 4 === 1 ? "evacuated" : "open",
                };
        default: {
            const revision = state.works.get(name)?.revision ?? 0;
            const expectedRevision = first % 8 === 4 ? Math.max(0, revision - 1) : revision;
            return { kind: "applyWork", spec: makeSpec(name, first + second), expectedRevision };
        }
    }
}

type TaskKind =
    | "placeTask"
    | "confirmStart"
    | "recordCheckpoint"
    | "endTask"
    | "requestEviction"
    | "throttleTask"
    | "rejectTask";

function makeTaskCommand(state: ClusterState, kind: TaskKind, { first, second }: Step, nowMs: number): ControlCommand {
    const charged = [...state.tasks.values()].filter(other => other.worker !== undefined);
    const task = pick(kind === "placeTask" || kind === "rejectTask" ? state.tasks.values() : charged, first);
    const id = task?.id ?? "absent/0";
    const token = task?.token ?? 0;
    switch (kind) {
        case "placeTask":
            return { kind, nowMs, task: id, worker: `worker-${second % 3}`, previousToken: token };
        case "recordCheckpoint":
            return { kind, nowMs, task: id, token, checkpoint: `checkpoint-${second}` };
        case "endTask": {
            const outcome = pick(["succeeded", "failed", "stopped", "stopped", "lost"] as const, second) ?? "lost";
            return { kind, nowMs, task: id, token, outcome, reason: "" };
        }
        case "requestEviction":
            return { kind, nowMs, task: id, token, reason: "test" };
        case "throttleTask":
            return { kind, nowMs, task: id, token, percent: 1 + second % 100 };
        case "rejectTask":
            return { kind, nowMs, task: id, reason: "test" };
        case "confirmStart":
            return { kind, nowMs, task: id, token };
    }
}

function makeWorkerCommand(state: ClusterState, { kind, first, second }: Step, nowMs: number): ControlCommand {
    const worker = `worker-${first % 3}`;
    const incarnation = state.workers.get(worker)?.incarnation ?? "";
    if (kind === "registerWorker") {
        const cores = 1 + second % 4;
        const capacity = { milliCpu: cores * 1_000, memoryMib: 2_048, accelerators: cores };
        const next = second % 5 === 0 || incarnation === "" ? `run-${nowMs}` : incarnation;
        return { kind, nowMs, worker, incarnation: next, availabilityZone: "a", rack: "r", capacity };
    }
    return kind === "expireWorker"
        ? { kind, nowMs, worker, incarnation }
        : { kind: "setAsideWorker", nowMs, worker, setAside: second % 2 === 0 };
}

type OwnershipKind =
    | "openSession"
    | "expireEntry"
    | "drainSession"
    | "registerMinion"
    | "removeMinion"
    | "rebalanceOwnership"
    | "moveOwnership";

function makeOwnershipCommand(
    state: ClusterState,
    kind: OwnershipKind,
    { first, second }: Step,
    nowMs: number,
): ControlCommand {
    const entry = `entry-${first % 4}`;
    const availabilityZone = pick(["a", "b", "c"], first) ?? "a";
    const restarted = kind === "openSession" && second % 7 === 0;
    const incarnation = (restarted ? undefined : state.entries.get(entry)?.incarnation) ?? `run-${nowMs}`;
    switch (kind) {
        case "openSession":
            return {
                kind,
                nowMs,
                session: {
                    entry,
                    incarnation,
                    peerAddress: "10.0.0.1:1",
                    availabilityZone,
                    draining: second % 9 === 0,
                },
            };
        case "expireEntry":
        case "drainSession":
            return { kind, nowMs, entry, incarnation };
        case "registerMinion": {
            const minion = {
                id: `minion-${first % 9}`,
                service: `service-${first % 2}`,
                address: "10.0.0.2:1",
                slots: 8,
            };
            return { kind, nowMs, minion: { ...minion, availabilityZone, connections: 64 } };
        }
        case "removeMinion":
            return { kind, nowMs, minion: `minion-${first % 9}` };
        case "moveOwnership": {
            const record = pick([...state.ownership.values()].filter(other => other.phase === "releasing"), first);
            const item = record?.item ?? { kind: "shard", shard: 0 };
            return { kind, nowMs, item, from: record?.owner ?? "", epoch: record?.epoch ?? 0, attempts: [] };
        }
        case "rebalanceOwnership":
            return { kind, nowMs };
    }
}

function makeRequestCommand(state: ClusterState, { kind, first, second }: Step, nowMs: number): ControlCommand {
    const requestId = `order-${first % 6}`;
    const owner = state.ownership.get(`shard:${computeShard("hakata", requestId)}`);
    const entry = owner?.owner ?? "entry-0";
    const epoch = owner?.epoch ?? 0;
    if (kind === "beginRequest") {
        const bodyCrc32 = second % 7 === 0 ? 2 : 1;
        return { kind, nowMs, request: { tenant: "hakata", requestId, bodyCrc32, bodyLength: 3, entry, epoch } };
    }
    const outcome = pick(
        [{ kind: "answered", status: 200, answer: Uint8Array.of(second % 256) }, { kind: "notRun" }, {
            kind: "unknown",
        }] as const,
        second,
    ) ?? { kind: "unknown" };
    const beganIndex = (state.requests.get(`6:hakata:${requestId}`) as { beganIndex?: number; } | undefined)
        ?.beganIndex;
    return { kind: "finishRequest", nowMs, tenant: "hakata", requestId, entry, epoch, beganIndex, outcome };
}

/**
 * Makes the command of a step. A step of kind `batch` repeats one or two earlier commands, to simulate late, duplicate
 * and reordered messages.
 */
export function makeCommand(
    state: ClusterState,
    step: Step,
    history: readonly ControlCommand[],
    nowMs: number,
): ControlCommand {
    switch (step.kind) {
        case "operatorChange":
            return { kind: step.kind, nowMs, operatorRequestId: `request-${nowMs}`, change: makeChange(state, step) };
        case "registerWorker":
        case "expireWorker":
        case "setAsideWorker":
            return makeWorkerCommand(state, step, nowMs);
        case "openSession":
        case "expireEntry":
        case "drainSession":
        case "registerMinion":
        case "removeMinion":
        case "rebalanceOwnership":
        case "moveOwnership":
            return makeOwnershipCommand(state, step.kind, step, nowMs);
        case "beginRequest":
        case "finishRequest":
            return makeRequestCommand(state, step, nowMs);
        case "batch": {
            const earlier = pick(history, step.first) ?? { kind: "rebalanceOwnership", nowMs };
            const other = pick(history, step.second) ?? earlier;
            return step.second % 2 === 0 ? earlier : { kind: "batch", nowMs, commands: [earlier, other] };
        }
        case "placeTask":
        case "confirmStart":
        case "recordCheckpoint":
        case "endTask":
        case "requestEviction":
        case "throttleTask":
        case "rejectTask":
            return makeTaskCommand(state, step.kind, step, nowMs);
    }
}

/** Makes the commands that create a tenant, workers, works and entry sessions for random steps to act on. */
export function makeStartCommands(): ControlCommand[] {
    const nowMs = 1;
    const quota = { milliCpu: 100_000, memoryMib: 100_000, accelerators: 100 };
    const capacity = { milliCpu: 4_000, memoryMib: 2_048, accelerators: 2 };
    const change = { kind: "applyTenant", tenant: "hakata", quota, weight: 1, expectedRevision: 0 } as const;
    return [
        { kind: "operatorChange", nowMs, operatorRequestId: "tenant", change },
        ...["worker-0", "worker-1"].map(worker => ({
            kind: "registerWorker" as const,
            nowMs,
            worker,
            incarnation: "first",
            availabilityZone: "a",
            rack: "r",
            capacity,
        })),
        ...["watch-a", "watch-b", "job-a"].map(name => ({
            kind: "operatorChange" as const,
            nowMs,
            operatorRequestId: name,
            change: { kind: "applyWork" as const, spec: makeSpec(name, 0), expectedRevision: 0 },
        })),
        ...["entry-0", "entry-1"].map(entry => ({
            kind: "openSession" as const,
            nowMs,
            session: { entry, incarnation: "first", peerAddress: "10.0.0.1:1", availabilityZone: "a", draining: false },
        })),
    ];
}
