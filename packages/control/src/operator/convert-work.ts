import { create, type MessageInitShape } from "@bufbuild/protobuf";
import {
    type TaskStatus,
    TaskStatusSchema,
    type Work,
    WorkSchema,
    type WorkStatus,
    WorkStatusSchema,
} from "@chestnutspool/schema";
import type { ClusterState, ErrorData, TaskRecord, WorkRecord, WorkSpec } from "@chestnutspool/types";
import { type Either, Left, Right } from "purify-ts";
import { convertResources, createResourceMessage } from "../worker-messages.js";

/** Failed attempts after which a task of a job fails, when the operator sets no number. */
const defaultMaxAttempts = 3;

/** The spec of a work message. Its fields are checked when the change is applied. */
export function parseWork(message: Work | undefined): Either<ErrorData, WorkSpec> {
    if (message === undefined) {
        return Left({ kind: "invalidArgument", field: "work", seen: "nothing", allowed: "a work" });
    }
    const base = {
        name: message.name,
        tenant: message.tenant,
        resources: convertResources(message.resources),
        interferenceClass: message.interferenceClass === "" ? message.name : message.interferenceClass,
        command: message.command,
    };
    const { kind } = message;
    switch (kind.case) {
        case "service":
            return Right({ kind: "service", ...base, replicas: kind.value.replicas, maxRunMs: kind.value.maxRunMs });
        case "job":
            return Right({
                kind: "job",
                ...base,
                tasks: kind.value.tasks,
                deadlineAtMs: kind.value.deadlineAtMs === 0n ? undefined : Number(kind.value.deadlineAtMs),
                expectedRunMs: kind.value.expectedRunMs,
                maxAttempts: kind.value.maxAttempts === 0 ? defaultMaxAttempts : kind.value.maxAttempts,
            });
        case "watch":
            return Right({ kind: "watch", ...base, checkpointIntervalMs: kind.value.checkpointIntervalMs });
        case undefined:
            return Left({
                kind: "invalidArgument",
                field: "work.kind",
                seen: "nothing",
                allowed: "service, job or watch",
            });
    }
}

function createKindMessage(spec: WorkSpec): NonNullable<MessageInitShape<typeof WorkSchema>["kind"]> {
    switch (spec.kind) {
        case "service":
            return { case: "service", value: { replicas: spec.replicas, maxRunMs: spec.maxRunMs } };
        case "job":
            return {
                case: "job",
                value: {
                    tasks: spec.tasks,
                    deadlineAtMs: BigInt(spec.deadlineAtMs ?? 0),
                    expectedRunMs: spec.expectedRunMs,
                    maxAttempts: spec.maxAttempts,
                },
            };
        case "watch":
            return { case: "watch", value: { checkpointIntervalMs: spec.checkpointIntervalMs } };
    }
}

function createWorkMessage(spec: WorkSpec): Work {
    const { name, tenant, interferenceClass, command } = spec;
    return create(WorkSchema, {
        name,
        tenant,
        interferenceClass,
        command,
        resources: createResourceMessage(spec.resources),
        kind: createKindMessage(spec),
    });
}

/** The tasks of a work in order of their ordinals. */
export function listTasksOfWork(state: ClusterState, work: WorkRecord): TaskRecord[] {
    const tasks: TaskRecord[] = [];
    for (let ordinal = 0;; ordinal += 1) {
        const task = state.tasks.get(`${work.spec.name}/${ordinal}`);
        if (task === undefined) {
            return tasks;
        }
        tasks.push(task);
    }
}

/** The message of a work with the number of its tasks by phase. */
export function createWorkStatus(state: ClusterState, work: WorkRecord): WorkStatus {
    const tasksByPhase: Record<string, number> = {};
    for (const task of listTasksOfWork(state, work)) {
        tasksByPhase[task.phase] = (tasksByPhase[task.phase] ?? 0) + 1;
    }
    return create(WorkStatusSchema, {
        work: createWorkMessage(work.spec),
        revision: BigInt(work.revision),
        cancelled: work.cancelled,
        changedBy: work.changedBy,
        createdAtMs: BigInt(work.createdAtMs),
        tasksByPhase,
    });
}

/** The message of a task. */
export function createTaskStatus(task: TaskRecord): TaskStatus {
    const { id, work, tenant, phase, failures, evictions, reason } = task;
    return create(TaskStatusSchema, {
        id,
        work,
        tenant,
        phase,
        failures,
        evictions,
        reason,
        token: BigInt(task.token),
        worker: task.worker ?? "",
        checkpoint: task.checkpoint ?? "",
        createdAtMs: BigInt(task.createdAtMs),
        startedAtMs: BigInt(task.startedAtMs ?? 0),
        endedAtMs: BigInt(task.endedAtMs ?? 0),
    });
}
