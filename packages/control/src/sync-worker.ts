import { create, toBinary } from "@bufbuild/protobuf";
import { type SyncRequest, SyncRequestSchema, type SyncResponse, SyncResponseSchema } from "@chestnutspool/schema";
import {
    type ClusterState,
    type ErrorData,
    readMonotonicMs,
    readWallMs,
    resourceNames,
    type Resources,
    type TaskRecord,
    type WorkerDirective,
} from "@chestnutspool/types";
import { Effect } from "effect";
import { type ControlContext, proposeAll, type ProposedCommand } from "./control-context.js";
import { decodeMessage } from "./decode-message.js";
import {
    getLeaderMemory,
    getWorkerMemory,
    type LeaderMemory,
    recordInheritedTokens,
    type WorkerMemory,
} from "./leader-memory.js";
import { listNeverStartedTasks, planDirectives, type SyncReport } from "./worker-directives.js";
import {
    convertResources,
    convertUsage,
    createDirectiveMessage,
    type EndedAttempt,
    parseEnded,
} from "./worker-messages.js";

function isSameAmount(left: Resources, right: Resources): boolean {
    return resourceNames.every(name => left[name] === right[name]);
}

function planRegistration(state: ClusterState, request: SyncRequest): ProposedCommand[] {
    const { worker, incarnation, availabilityZone, rack } = request;
    const capacity = convertResources(request.capacity);
    const known = state.workers.get(worker);
    const same = known?.incarnation === incarnation && known.availabilityZone === availabilityZone
        && known.rack === rack && isSameAmount(known.capacity, capacity);
    return same ? [] : [{ kind: "registerWorker", worker, incarnation, availabilityZone, rack, capacity }];
}

/** The task, when the worker holds its current attempt and the token is that of the attempt. */
function findHeldTask(state: ClusterState, worker: string, id: string, token: number): TaskRecord | undefined {
    const task = state.tasks.get(id);
    return task?.worker === worker && task.token === token ? task : undefined;
}

function planCheckpoint(task: TaskRecord, checkpoint: string): ProposedCommand[] {
    return checkpoint === "" || checkpoint === task.checkpoint
        ? []
        : [{ kind: "recordCheckpoint", task: task.id, token: task.token, checkpoint }];
}

/** The commands that record what a worker reports; ended attempts come last, after their checkpoint. */
function planReport(state: ClusterState, request: SyncRequest, ended: readonly EndedAttempt[]): ProposedCommand[] {
    const commands: ProposedCommand[] = [];
    for (const { task: id, token, checkpoint } of request.running) {
        const task = findHeldTask(state, request.worker, id, Number(token));
        if (task?.phase === "starting") {
            commands.push({ kind: "confirmStart", task: id, token: task.token });
        }
        commands.push(...(task === undefined ? [] : planCheckpoint(task, checkpoint)));
    }
    for (const { task: id, token, outcome, reason, checkpoint } of ended) {
        const task = findHeldTask(state, request.worker, id, token);
        if (task !== undefined) {
            commands.push(...planCheckpoint(task, checkpoint), { kind: "endTask", task: id, token, outcome, reason });
        }
    }
    return commands;
}

function createNeverStartedCommand({ id, token }: TaskRecord): ProposedCommand {
    return { kind: "endTask", task: id, token, outcome: "stopped", reason: "never started" };
}

const recordUsage = Effect.fnUntraced(function*(context: ControlContext, memory: LeaderMemory, request: SyncRequest) {
    const { state } = context.machine;
    const usage = request.usage.map(convertUsage)
        .filter(sample => findHeldTask(state, request.worker, sample.task, sample.token) !== undefined);
    if (usage.length > 0) {
        context.placer.recordReports([{ worker: request.worker, usage }], yield* readWallMs);
        memory.hasNewReports = true;
    }
});

/**
 * Waits until there is a directive for the worker, a later sync or incarnation replaced this one, or the hold time is
 * over. Does not wait after a report of ended attempts, so that they are acknowledged at once.
 */
const awaitDirectives = Effect.fnUntraced(function*(
    context: ControlContext,
    workerMemory: WorkerMemory,
    request: SyncRequest,
    report: SyncReport,
) {
    const { state } = context.machine;
    const sync = workerMemory.lastSyncOrdinal;
    const holdUntilMs = (yield* readMonotonicMs) + context.settings.leases.syncHoldMs;
    while (true) {
        const changed = workerMemory.changed.watchNext();
        const nowMs = yield* readMonotonicMs;
        if (
            workerMemory.lastSyncOrdinal !== sync
            || state.workers.get(request.worker)?.incarnation !== request.incarnation
        ) {
            return [];
        }
        const directives = planDirectives(state, workerMemory, report, nowMs);
        if (directives.length > 0 || nowMs >= holdUntilMs || report.ended.size > 0) {
            return directives;
        }
        yield* Effect.raceFirst(changed, Effect.sleep(holdUntilMs - nowMs));
    }
});

function createResponse(
    context: ControlContext,
    directives: readonly WorkerDirective[],
    acknowledged: ReadonlySet<number>,
): SyncResponse {
    const { state } = context.machine;
    return create(SyncResponseSchema, {
        leaseMs: context.settings.leases.workerLeaseMs,
        directives: directives.map(directive =>
            createDirectiveMessage(directive, state.tasks.get(directive.task)?.charged)
        ),
        acknowledged: [...acknowledged].map(BigInt),
    });
}

function isExpiring(memory: LeaderMemory, { worker, incarnation }: SyncRequest): boolean {
    const known = memory.workers.get(worker);
    return known?.expiring === true && known.incarnation === incarnation;
}

/** Refuses a sync that arrives after a later one of the same incarnation: it could restore an older checkpoint. */
function failIfOutOfOrder(
    memory: LeaderMemory,
    { worker, incarnation, sequence }: SyncRequest,
): Effect.Effect<void, ErrorData> {
    const known = memory.workers.get(worker);
    return known?.incarnation === incarnation && sequence < known.lastSequence
        ? Effect.fail({
            kind: "staleToken",
            subject: `sync of worker ${worker}`,
            seen: Number(sequence),
            current: Number(known.lastSequence),
        })
        : Effect.void;
}

function checkIdentity(request: SyncRequest): ErrorData | undefined {
    const field = (["worker", "incarnation"] as const).find(name => request[name] === "");
    return field === undefined ? undefined : { kind: "invalidArgument", field, seen: "\"\"", allowed: "a text" };
}

/**
 * Registers the worker and records its report. The lease is renewed last, at a time read after this replica confirmed that
 * it leads.
 */
const recordSync = Effect.fnUntraced(function*(
    context: ControlContext,
    request: SyncRequest,
    ended: readonly EndedAttempt[],
    report: SyncReport,
) {
    yield* getLeaderMemory(context);
    yield* context.log.confirmRead;
    const memory = yield* getLeaderMemory(context);
    const { state } = context.machine;
    recordInheritedTokens(memory, state);
    const expired: ErrorData = { kind: "sessionExpired", entry: `worker ${request.worker}` };
    if (isExpiring(memory, request)) {
        return yield* Effect.fail(expired);
    }
    yield* failIfOutOfOrder(memory, request);
    const [registration] = yield* proposeAll(context, planRegistration(state, request));
    if (registration?.kind === "refused") {
        return yield* Effect.fail(registration.error);
    }
    const workerMemory = getWorkerMemory(memory, request.worker, request.incarnation);
    workerMemory.lastSequence = request.sequence;
    const neverStarted = listNeverStartedTasks(state, workerMemory, memory.inheritedTokens ?? new Set(), report);
    yield* proposeAll(context, [...planReport(state, request, ended), ...neverStarted.map(createNeverStartedCommand)]);
    const nowMs = yield* readMonotonicMs;
    // There is no yield between this check and the record of the sync, so that an expiry cannot come between them.
    if (isExpiring(memory, request) || state.workers.get(request.worker)?.incarnation !== request.incarnation) {
        return yield* Effect.fail(expired);
    }
    workerMemory.syncedAtMs = nowMs;
    workerMemory.lastSyncOrdinal += 1;
    workerMemory.changed.notifyAll();
    yield* recordUsage(context, memory, request);
    return workerMemory;
});

/** Serves `WorkerService.Sync`: records the report, renews the lease and returns directives. */
export const syncWorker = Effect.fnUntraced(function*(context: ControlContext, body: Uint8Array) {
    const request = yield* decodeMessage(SyncRequestSchema, body);
    const fault = checkIdentity(request);
    if (fault !== undefined) {
        return yield* Effect.fail(fault);
    }
    const ended = yield* parseEnded(request).caseOf<Effect.Effect<readonly EndedAttempt[], ErrorData>>({
        Left: error => Effect.fail(error),
        Right: attempts => Effect.succeed(attempts),
    });
    const report: SyncReport = {
        worker: request.worker,
        running: request.running.map(({ task, token }) => ({ task, token: Number(token) })),
        ended: new Set(ended.map(attempt => attempt.token)),
        sequence: request.sequence,
    };
    const workerMemory = yield* recordSync(context, request, ended, report);
    const directives = yield* awaitDirectives(context, workerMemory, request, report);
    return toBinary(SyncResponseSchema, createResponse(context, directives, report.ended));
});
