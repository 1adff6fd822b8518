import type { ClusterState, TaskRecord, WorkerDirective, WorkerId } from "@chestnutspool/types";
import type { SentDirectives, WorkerMemory } from "./leader-memory.js";

/** Interval after which a directive without effect is sent again; a worker may need this long to stop a task. */
const resendIntervalMs = 1_000;

/** An attempt that a worker reports as running. */
export interface RunningAttempt {
    readonly task: string;
    readonly token: number;
}

/** What a worker reports in one sync. */
export interface SyncReport {
    readonly worker: WorkerId;
    readonly running: readonly RunningAttempt[];
    /** Tokens of the attempts that the worker reports as ended. */
    readonly ended: ReadonlySet<number>;
    /** Increases with each sync of one incarnation of the worker; 0 when the worker does not number its syncs. */
    readonly sequence: bigint;
}

function getSent(memory: WorkerMemory, token: number): SentDirectives {
    const existing = memory.sentByToken.get(token);
    if (existing !== undefined) {
        return existing;
    }
    const created: SentDirectives = {
        startedAtMs: undefined,
        startSequence: undefined,
        stoppedAtMs: undefined,
        throttlePercent: undefined,
    };
    memory.sentByToken.set(token, created);
    return created;
}

function isDue(sentAtMs: number | undefined, nowMs: number): boolean {
    return sentAtMs === undefined || nowMs - sentAtMs >= resendIntervalMs;
}

function planStart(
    state: ClusterState,
    task: TaskRecord,
    sent: SentDirectives,
    sequence: bigint,
    nowMs: number,
): WorkerDirective[] {
    const spec = state.works.get(task.work)?.spec;
    if (spec === undefined || !isDue(sent.startedAtMs, nowMs)) {
        return [];
    }
    sent.startedAtMs = nowMs;
    sent.startSequence = sequence;
    sent.throttlePercent = 100;
    return [{
        kind: "start",
        task: task.id,
        token: task.token,
        command: spec.command,
        resumeFrom: task.checkpoint,
        checkpointIntervalMs: spec.kind === "watch" ? spec.checkpointIntervalMs : undefined,
    }];
}

/**
 * Plans the stop of an attempt. A watch that will run again takes a checkpoint first; the worker carries out directives in
 * order. Both directives are repeated together, because the first may have been lost with its reply.
 */
function planStop(
    state: ClusterState,
    attempt: RunningAttempt,
    task: TaskRecord | undefined,
    sent: SentDirectives,
    nowMs: number,
): WorkerDirective[] {
    if (!isDue(sent.stoppedAtMs, nowMs)) {
        return [];
    }
    const work = task === undefined ? undefined : state.works.get(task.work);
    const needsCheckpoint = work?.spec.kind === "watch" && !work.cancelled;
    sent.stoppedAtMs = nowMs;
    const stop: WorkerDirective = { kind: "stop", task: attempt.task, token: attempt.token };
    return needsCheckpoint ? [{ kind: "checkpoint", task: attempt.task, token: attempt.token }, stop] : [stop];
}

function planThrottle(task: TaskRecord, sent: SentDirectives): WorkerDirective[] {
    if (sent.throttlePercent === task.throttlePercent) {
        return [];
    }
    sent.throttlePercent = task.throttlePercent;
    return [{ kind: "throttle", task: task.id, token: task.token, percent: task.throttlePercent }];
}

function planTaskDirectives(
    state: ClusterState,
    memory: WorkerMemory,
    task: TaskRecord,
    report: SyncReport,
    nowMs: number,
): WorkerDirective[] {
    const running = report.running.some(attempt => attempt.token === task.token);
    const sent = getSent(memory, task.token);
    switch (task.phase) {
        case "starting":
            return running ? [] : planStart(state, task, sent, report.sequence, nowMs);
        case "running":
            return running ? planThrottle(task, sent) : planStart(state, task, sent, report.sequence, nowMs);
        case "stopping":
            return planStop(state, { task: task.id, token: task.token }, task, sent, nowMs);
        case "pending":
        case "succeeded":
        case "failed":
        case "cancelled":
        case "impossible":
            return [];
    }
}

function listAssignedTasks(state: ClusterState, worker: WorkerId): TaskRecord[] {
    return [...(state.tasksByWorker.get(worker) ?? [])].flatMap(id => state.tasks.get(id) ?? []);
}

/**
 * Lists the stopping tasks whose attempt the worker certainly never started: the start was not sent, or only in replies to
 * earlier syncs. A worker syncs again only after it received the reply to its last sync or gave up waiting for it, so it
 * would report a start that it received. An attempt of an earlier term ends only by the worker's own report.
 */
export function listNeverStartedTasks(
    state: ClusterState,
    memory: WorkerMemory,
    inherited: ReadonlySet<number>,
    report: SyncReport,
): TaskRecord[] {
    const reported = new Set([...report.running.map(attempt => attempt.token), ...report.ended]);
    return listAssignedTasks(state, report.worker).filter(({ phase, token }) => {
        const startSequence = memory.sentByToken.get(token)?.startSequence;
        return phase === "stopping" && !reported.has(token) && !inherited.has(token)
            && (startSequence === undefined || report.sequence > startSequence);
    });
}

/**
 * Plans the directives that make a worker run exactly the attempts that the state assigns to it. Directives are recorded
 * as sent; a start or stop that had no effect is repeated after `resendIntervalMs`.
 */
export function planDirectives(
    state: ClusterState,
    memory: WorkerMemory,
    report: SyncReport,
    nowMs: number,
): WorkerDirective[] {
    const runningTokens = new Set(report.running.map(attempt => attempt.token));
    const assigned = listAssignedTasks(state, report.worker);
    const assignedTokens = new Set(assigned.map(task => task.token));
    for (const token of memory.sentByToken.keys()) {
        if (!assignedTokens.has(token) && !runningTokens.has(token)) {
            memory.sentByToken.delete(token);
        }
    }
    const wanted = assigned.filter(task => !report.ended.has(task.token))
        .flatMap(task => planTaskDirectives(state, memory, task, report, nowMs));
    const stale = report.running.filter(attempt => !assignedTokens.has(attempt.token)).flatMap(attempt =>
        planStop(state, attempt, undefined, getSent(memory, attempt.token), nowMs)
    );
    return [...stale, ...wanted];
}
