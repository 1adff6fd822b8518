import type { ClusterState, TaskRecord, WorkerDirective, WorkerId } from "@chestnutspool/types";
import type { SentDirectives, WorkerMemory } from "./leader-memory.js";

/** Wait before a directive that had no effect is sent again; a worker may need this long to stop a task. */
const resendMs = 1_000;

/** An attempt that a worker reports as running. */
export interface RunningAttempt {
    readonly task: string;
    readonly token: number;
}

/** What a worker reports in one sync. */
export interface WorkerSync {
    readonly worker: WorkerId;
    readonly running: readonly RunningAttempt[];
    /** Tokens of the attempts that it reports as ended. */
    readonly ended: ReadonlySet<number>;
    /** Rises with each sync of one run of the worker; 0 when the worker does not count. */
    readonly sequence: bigint;
}

function getSent(memory: WorkerMemory, token: number): SentDirectives {
    const existing = memory.sent.get(token);
    if (existing !== undefined) {
        return existing;
    }
    const created: SentDirectives = {
        startedAtMs: undefined,
        startSequence: undefined,
        stoppedAtMs: undefined,
        throttlePercent: undefined,
    };
    memory.sent.set(token, created);
    return created;
}

function isDue(sentAtMs: number | undefined, nowMs: number): boolean {
    return sentAtMs === undefined || nowMs - sentAtMs >= resendMs;
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
 * A watch that will run again takes a checkpoint before it stops; the worker carries out directives in order. The pair is
 * repeated as a whole, because the first one may have been lost with its reply.
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
    const keepsProgress = work?.spec.kind === "watch" && !work.cancelled;
    sent.stoppedAtMs = nowMs;
    const stop: WorkerDirective = { kind: "stop", task: attempt.task, token: attempt.token };
    return keepsProgress ? [{ kind: "checkpoint", task: attempt.task, token: attempt.token }, stop] : [stop];
}

function planThrottle(task: TaskRecord, sent: SentDirectives): WorkerDirective[] {
    if (sent.throttlePercent === task.throttlePercent) {
        return [];
    }
    sent.throttlePercent = task.throttlePercent;
    return [{ kind: "throttle", task: task.id, token: task.token, percent: task.throttlePercent }];
}

function planTask(
    state: ClusterState,
    memory: WorkerMemory,
    task: TaskRecord,
    report: WorkerSync,
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

function listAssigned(state: ClusterState, worker: WorkerId): TaskRecord[] {
    return [...(state.tasksByWorker.get(worker) ?? [])].flatMap(id => state.tasks.get(id) ?? []);
}

/**
 * Attempts that are to stop and that the worker certainly never runs: their start was not sent, or only in replies to
 * earlier syncs. A worker syncs again only after it took the reply of the last sync or gave up waiting for it, so that it
 * would report a start that it received. Attempts of earlier terms are left to the worker's own report.
 */
export function listNeverStarted(
    state: ClusterState,
    memory: WorkerMemory,
    inherited: ReadonlySet<number>,
    report: WorkerSync,
): TaskRecord[] {
    const reported = new Set([...report.running.map(attempt => attempt.token), ...report.ended]);
    return listAssigned(state, report.worker).filter(({ phase, token }) => {
        const startSequence = memory.sent.get(token)?.startSequence;
        return phase === "stopping" && !reported.has(token) && !inherited.has(token)
            && (startSequence === undefined || report.sequence > startSequence);
    });
}

/**
 * What a worker has to do so that it runs exactly the attempts that the state assigns to it. Each directive is remembered
 * as sent and repeated only after a pause.
 */
export function planDirectives(
    state: ClusterState,
    memory: WorkerMemory,
    report: WorkerSync,
    nowMs: number,
): WorkerDirective[] {
    const runningTokens = new Set(report.running.map(attempt => attempt.token));
    const assigned = listAssigned(state, report.worker);
    const assignedTokens = new Set(assigned.map(task => task.token));
    for (const token of memory.sent.keys()) {
        if (!assignedTokens.has(token) && !runningTokens.has(token)) {
            memory.sent.delete(token);
        }
    }
    const wanted = assigned.filter(task => !report.ended.has(task.token))
        .flatMap(task => planTask(state, memory, task, report, nowMs));
    const stale = report.running.filter(attempt => !assignedTokens.has(attempt.token)).flatMap(attempt =>
        planStop(state, attempt, undefined, getSent(memory, attempt.token), nowMs)
    );
    return [...stale, ...wanted];
}
