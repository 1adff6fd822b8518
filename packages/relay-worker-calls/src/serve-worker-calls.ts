import type { Logger } from "@chestnutspool/logger";
import type {
    OrderAnswer,
    PeerId,
    RelayedAnswer,
    RelayedCall,
    RenewAnswer,
    WorkerCallMessage,
    WorkerPort,
    WorkerRef,
} from "@chestnutspool/types";
import { Cause, Effect } from "effect";
import { type Batch, createBatch, type ScheduleFlush } from "./batch.js";
import { type DelayBaseline, estimateDelay } from "./message-delay.js";
import { restorePayload } from "./share-payloads.js";

/** Largest number of answers in a message; reports with 500 ends each stay below the limit of a frame. */
const answersPerMessage = 50;
/** Number of processes whose calls are served at the same time; above the control processes of any deployment. */
const callerLimit = 64;
/** Longest time for which an answer waits for others, in milliseconds; a caller counts its call as lost only far later. */
const longestPatienceMs = 50;
/** Time for which calls that were sent before the announcement to leave may arrive, in milliseconds. */
const leaveNoticeMs = 100;
/**
 * Longest time that a relay that leaves waits for its calls in progress, in milliseconds; above the time for which a
 * worker delays its report, and below the 1.5 s that a process reserves for stopping.
 */
const drainLimitMs = 1_000;
/** Interval at which a relay that leaves looks for calls in progress, in milliseconds. */
const drainCheckMs = 20;

/** Dependencies of a relay. */
export interface RelayDependencies {
    readonly workers: WorkerPort<WorkerRef>;
    readonly availabilityZone: string;
    readonly sendMessage: (to: PeerId, message: WorkerCallMessage) => boolean;
    readonly scheduleFlush: ScheduleFlush;
    readonly logger: Logger;
}

/** Handles the calls in a message that arrived at `nowMs`, in monotonic milliseconds. */
export type HandleCalls = (
    from: PeerId,
    message: Extract<WorkerCallMessage, { kind: "calls"; }>,
    nowMs: number,
) => Effect.Effect<void>;

/** The part of a process that carries out calls of a leader. */
export interface Relay {
    readonly handleCalls: HandleCalls;
    /** Announces that this process leaves, and waits for the calls in progress. */
    readonly drain: Effect.Effect<void>;
}

/** A run of a process that sends calls. */
interface Caller {
    readonly incarnation: string;
    readonly answers: Batch<RelayedAnswer>;
    delays: DelayBaseline | undefined;
}

/** Carries out a call; undefined for one that gets no answer. */
function performCall(
    workers: WorkerPort<WorkerRef>,
    { worker, call }: RelayedCall,
    limitMs: number,
): Effect.Effect<OrderAnswer | RenewAnswer> | undefined {
    switch (call.kind) {
        case "startRun":
            return workers.startRun(worker, call.order, limitMs);
        case "stopRun":
            return workers.stopRun(worker, call.run, call.fencingToken, limitMs);
        case "paceRun":
            return workers.paceRun(worker, call.run, call.percent, call.fencingToken, limitMs);
        case "renewLease":
            return workers.renewLease(worker, call.order, limitMs);
        case "closeConnections":
            workers.closeConnections(worker);
            return undefined;
    }
}

/**
 * Carries out the calls of a leader and sends the answers back. A call that was under way for longer than its limit is
 * dropped. The calls in progress end with the scope.
 */
export const serveWorkerCalls = Effect.fnUntraced(function*(dependencies: RelayDependencies) {
    const { workers, availabilityZone, sendMessage, scheduleFlush, logger } = dependencies;
    const scope = yield* Effect.scope;
    const callers = new Map<PeerId, Caller>();
    let isLeaving = false;
    let inProgress = 0;

    const sendAnswers = (to: PeerId, incarnation: string, answers: readonly RelayedAnswer[]): boolean =>
        sendMessage(to, {
            kind: "answers",
            incarnation,
            availabilityZone,
            answers,
            sharesPayloads: true,
            ...(isLeaving ? { isLeaving } : {}),
        });

    const getCaller = (from: PeerId, incarnation: string): Caller => {
        const known = callers.get(from);
        if (known?.incarnation === incarnation) {
            return known;
        }
        if (callers.size >= callerLimit) {
            callers.clear();
        }
        const caller: Caller = {
            incarnation,
            answers: createBatch(answersPerMessage, answers => {
                sendAnswers(from, incarnation, answers);
            }, scheduleFlush),
            delays: undefined,
        };
        callers.set(from, caller);
        return caller;
    };

    const handleCalls: HandleCalls = Effect.fnUntraced(function*(from, message, nowMs) {
        const { incarnation, calls } = message;
        const caller = getCaller(from, incarnation);
        const { baseline, delayMs } = estimateDelay(caller.delays, message.sentAtMs, nowMs);
        caller.delays = baseline;
        if (calls.length === 0) {
            sendAnswers(from, incarnation, []);
            return;
        }
        let dropped = 0;
        for (const relayed of calls) {
            const { id, limitMs, call, patienceMs = 0 } = relayed;
            if (delayMs >= limitMs && call.kind !== "closeConnections") {
                dropped += 1;
                const detail = `the call was under way for ${Math.round(delayMs)} ms`;
                caller.answers.add({ id, answer: { kind: "notSent", detail }, isLate: true });
                continue;
            }
            const complete = restorePayload(relayed, message.payloads);
            if (complete === undefined) {
                logger.warn("a start order without its payload was not carried out", { from, id });
                caller.answers.add({ id, answer: { kind: "notSent", detail: "the message lacks the payload" } });
                continue;
            }
            const performed = performCall(workers, complete, limitMs - delayMs);
            if (performed === undefined) {
                continue;
            }
            inProgress += 1;
            const answered = performed.pipe(
                Effect.catchCause(cause =>
                    Effect.succeed<OrderAnswer>({ kind: "unknown", detail: Cause.pretty(cause) })
                ),
                Effect.map(answer => {
                    inProgress -= 1;
                    caller.answers.add({ id, answer }, isLeaving ? 0 : Math.min(patienceMs, longestPatienceMs));
                }),
            );
            yield* Effect.forkIn(answered, scope);
        }
        if (dropped > 0) {
            logger.warn("late calls to workers were dropped", { from, dropped, delayMs: Math.round(delayMs) });
        }
    });

    const awaitCalls = Effect.gen(function*() {
        yield* Effect.sleep(leaveNoticeMs);
        while (inProgress > 0) {
            yield* Effect.sleep(drainCheckMs);
        }
        // The last answers leave at the end of the turn.
        yield* Effect.sleep(drainCheckMs);
    });
    const drain = Effect.gen(function*() {
        isLeaving = true;
        const told = [...callers].filter(([from, { incarnation }]) => sendAnswers(from, incarnation, []));
        if (told.length > 0) {
            yield* Effect.timeoutOption(awaitCalls, drainLimitMs);
        }
    });
    return { handleCalls, drain } satisfies Relay;
});
