import { type ControlView, locateLeader } from "@chestnutspool/join-cluster";
import type { Logger } from "@chestnutspool/logger";
import type { Metrics } from "@chestnutspool/record-metrics";
import {
    type ControlAddress,
    describeJobRequest,
    type DirectoryReply,
    type DirectoryRequest,
    type ErrorData,
    type JobReply,
    type JobRequest,
    type PeerId,
    type PeerLink,
    readMonotonicMs,
} from "@chestnutspool/types";
import { Cause, Deferred, Effect, Exit, Queue } from "effect";
import { acceptRepeatedHeartbeat, type HeartbeatFilter, recordAcknowledged } from "./heartbeat-filter.js";
import {
    computeRetryMs,
    createLeaderContact,
    decideHold,
    type HoldDecision,
    recordCall,
    recordCallEnd,
    recordLeader,
} from "./leader-contact.js";

/** Time without an answer after which the leader is located again, in milliseconds; a commit takes a few disk syncs. */
const attemptTimeoutMs = 400;
/** Pause before a retry when no leader is known or the leader has not changed, in milliseconds. */
const retryPauseMs = 40;

/** Reply to a forwarded request; `noLeader` means that it was certainly not carried out. */
export type ForwardReply =
    | Exclude<JobReply, { readonly kind: "notLeader"; }>
    /** `retryAfterMs`: time after which a leader is likely to answer, spread over the callers. */
    | { readonly kind: "noLeader"; readonly retryAfterMs: number; };

/** Dependencies of a forwarder. */
export interface ForwarderDependencies {
    readonly link: PeerLink;
    readonly view: ControlView;
    /** Finds the leader in this process's replica of the log; undefined when the process has none. */
    readonly findLocalLeader: (() => ControlAddress | undefined) | undefined;
    /** Handles a request when this process is the leader; undefined when the process has no replica of the log. */
    readonly handleLocally: ((request: JobRequest) => Effect.Effect<JobReply>) | undefined;
    readonly logger: Logger;
    readonly metrics: Metrics;
}

/** Forwards requests to the leader. */
export interface Forwarder {
    /**
     * Retries until the leader has answered or `budgetMs` has passed. All requests are safe to repeat, because each
     * carries an id, version or sequence number. A submission that the leader is not likely to answer is refused at once.
     */
    readonly forwardRequest: (request: JobRequest, budgetMs: number) => Effect.Effect<ForwardReply>;
    /** Whether the leader is known. */
    readonly hasLeader: () => boolean;
    /** Adds control processes that may know the leader. */
    readonly addSeeds: (seeds: readonly ControlAddress[]) => void;
    /** Keeps locating the leader whenever it is not known; never ends. */
    readonly keepLocating: Effect.Effect<never>;
}

/** Interval at which a process without a known leader tries to locate it, in milliseconds. */
const locateIntervalMs = 200;

/** Whether a failed call may have had an effect. */
function isUncertain(error: ErrorData): boolean {
    return error.kind !== "peerUnavailable";
}

/** Attempts made for a request, for its log line. */
interface ForwardTrace {
    attempts: number;
    leader: string | undefined;
}

/** Attempts of one request. */
interface Attempts {
    /** Leaders whose answer is pending. */
    readonly pending: Set<PeerId>;
    /** Attempts that have ended and are not handled yet. */
    readonly ended: { readonly leader: ControlAddress; readonly reply: JobReply; }[];
    /** Gets an item when an attempt ends. */
    readonly changes: Queue.Queue<void>;
}

/** Whether a leader has answered the request, so that it is not sent to another one. */
function isFinal(reply: JobReply): reply is Exclude<ForwardReply, { readonly kind: "noLeader" | "outcomeUnknown"; }> {
    return reply.kind !== "notLeader" && reply.kind !== "outcomeUnknown";
}

/**
 * Chooses the reply of the attempts that have ended; undefined if none is final. A leader tells only of itself that it
 * refused the job: the reply is `outcomeUnknown` if another attempt may have been carried out.
 */
function chooseFinalReply(ended: Attempts["ended"], mayHaveOtherEffect: boolean) {
    let refusal: { readonly leader: ControlAddress; readonly reply: ForwardReply; } | undefined;
    for (const { leader, reply } of ended) {
        if (isFinal(reply)) {
            if (reply.kind !== "rejected") {
                return { leader, reply };
            }
            refusal = { leader, reply: mayHaveOtherEffect ? { kind: "outcomeUnknown" } : reply };
        }
    }
    return refusal;
}

/** Chooses the log level of a reply: warn for failures, debug for reads and heartbeats, info for everything else. */
function chooseLogMethod(logger: Logger, request: JobRequest, reply: ForwardReply): Logger["info"] {
    if (reply.kind === "noLeader" || reply.kind === "outcomeUnknown") {
        return logger.warn;
    }
    const isRoutine = reply.kind === "phase" || reply.kind === "pending" || reply.kind === "wave"
        || request.kind === "recordHeartbeat" || request.kind === "readConfiguration";
    return isRoutine ? logger.debug : logger.info;
}

/** Lists the log fields that tell why a request was refused without a call. */
function describeRefusal(decision: HoldDecision, heldRequests: number) {
    return decision.kind === "refuse"
        ? { refusal: decision.refusal, silentMs: Math.round(decision.silentMs), heldRequests }
        : {};
}

function createNoLeaderReply(request: JobRequest): ForwardReply {
    const { job, worker } = describeJobRequest(request);
    return { kind: "noLeader", retryAfterMs: computeRetryMs(String(job ?? worker ?? "")) };
}

/** Creates a forwarder on the link of this process. */
export function createForwarder(dependencies: ForwarderDependencies): Forwarder {
    const { link, view, logger } = dependencies;
    const jobs = link.openChannel<JobRequest, JobReply>("jobs", {});
    const directory = link.openChannel<DirectoryRequest, DirectoryReply>("directory", {});

    const contact = createLeaderContact();
    const heartbeats: HeartbeatFilter = new Map();
    /** Requests that are held until the leader answers. */
    let heldRequests = 0;

    /** Leader that was logged last, so that requests that locate it at the same time log it once. */
    let loggedLeader: string | undefined;

    const findLeader = (): ControlAddress | undefined => dependencies.findLocalLeader?.() ?? view.leader;

    const forgetLeader = (leader: ControlAddress): void => {
        if (view.leader?.id === leader.id) {
            view.leader = undefined;
            loggedLeader = undefined;
            logger.info("control leader lost", { leader: leader.id });
        }
    };

    const locateOnce = Effect.gen(function*() {
        const leader = yield* locateLeader(view, link, directory);
        if (leader !== undefined && leader.id !== loggedLeader) {
            loggedLeader = leader.id;
            logger.info("control leader found", { leader: leader.id });
        }
        return leader;
    });

    /** The search for the leader that is in progress. */
    let search: Deferred.Deferred<ControlAddress | undefined> | undefined;

    /** Locates the leader. Requests that wait at the same time share one search. */
    const locate = Effect.suspend(() => {
        if (search !== undefined) {
            return Deferred.await(search);
        }
        const started = Deferred.makeUnsafe<ControlAddress | undefined>();
        search = started;
        const run = Effect.gen(function*() {
            const exit = yield* Effect.exit(locateOnce);
            search = undefined;
            yield* Deferred.done(started, exit);
        });
        // Detached, because the request that starts the search may end before those that share it.
        return Effect.andThen(Effect.forkDetach(run), Deferred.await(started));
    });

    /** Calls the leader once. A failed call is `outcomeUnknown` if it may have had an effect, otherwise `notLeader`. */
    const attempt = Effect.fnUntraced(function*(leader: ControlAddress, request: JobRequest, limitMs: number) {
        if (leader.id === link.self && dependencies.handleLocally !== undefined) {
            return yield* dependencies.handleLocally(request);
        }
        link.setPeer(leader.id, leader.address);
        recordCall(contact, leader.id, yield* readMonotonicMs);
        let isAnswered = false;
        const exit = yield* Effect.exit(jobs.callPeer(leader.id, request, limitMs)).pipe(
            Effect.tap(({ _tag: tag }) =>
                Effect.sync(() => {
                    isAnswered = tag === "Success";
                })
            ),
            // Also when the call is cancelled at the end of the request's time.
            Effect.ensuring(Effect.map(readMonotonicMs, nowMs => recordCallEnd(contact, leader.id, isAnswered, nowMs))),
        );
        if (Exit.isSuccess(exit)) {
            return exit.value;
        }
        const error = Cause.findErrorOption(exit.cause);
        const uncertain = error._tag === "None" || isUncertain(error.value);
        return uncertain ? { kind: "outcomeUnknown" } as const : { kind: "notLeader", leader: undefined } as const;
    });

    /** Starts an attempt that adds its reply to `ended`; it is cancelled when the scope closes. */
    const startAttempt = Effect.fnUntraced(function*(
        attempts: Attempts,
        leader: ControlAddress,
        request: JobRequest,
        limitMs: number,
    ) {
        attempts.pending.add(leader.id);
        yield* Effect.forkScoped(Effect.map(attempt(leader, request, limitMs), reply => {
            attempts.pending.delete(leader.id);
            attempts.ended.push({ leader, reply });
            Queue.offerUnsafe(attempts.changes, undefined);
        }));
    });

    const awaitAttempt = (attempts: Attempts): Effect.Effect<void> =>
        attempts.ended.length > 0 ? Effect.void : Queue.take(attempts.changes);

    /** Waits until an attempt ends, at most `limitMs`. */
    const awaitAttemptFor = (attempts: Attempts, limitMs: number): Effect.Effect<void> =>
        Effect.asVoid(Effect.timeoutOption(awaitAttempt(attempts), limitMs));

    /** Locates the leader; returns `undefined` early when an attempt ends. */
    const locateUnlessEnded = (attempts: Attempts) =>
        Effect.raceFirst(locate, Effect.as(awaitAttempt(attempts), undefined));

    /**
     * Sends the request until a leader has answered. A leader whose answer is still pending over an unbroken link does
     * not get the request again, because a repeated request is more work for a leader that is too busy to answer.
     */
    const retryUntil = Effect.fnUntraced(function*(request: JobRequest, deadlineMs: number, trace: ForwardTrace) {
        const attempts: Attempts = { pending: new Set(), ended: [], changes: yield* Queue.sliding<void>(1) };
        let mayHaveEffect = false;
        while (true) {
            const ended = attempts.ended.splice(0);
            mayHaveEffect ||= ended.some(({ reply }) => reply.kind === "outcomeUnknown");
            const final = chooseFinalReply(ended, mayHaveEffect || attempts.pending.size > 0);
            if (final !== undefined) {
                trace.leader = final.leader.id;
                return final.reply;
            }
            const leftMs = deadlineMs - (yield* readMonotonicMs);
            if (leftMs <= 0) {
                break;
            }
            const leader = findLeader() ?? (yield* locateUnlessEnded(attempts));
            if (leader === undefined) {
                yield* awaitAttemptFor(attempts, Math.min(retryPauseMs, leftMs));
                continue;
            }
            if (!attempts.pending.has(leader.id)) {
                trace.attempts += 1;
                trace.leader = leader.id;
                yield* startAttempt(attempts, leader, request, leftMs);
            }
            yield* awaitAttemptFor(attempts, Math.min(attemptTimeoutMs, leftMs));
            if (attempts.ended.some(({ reply }) => isFinal(reply))) {
                continue;
            }
            const isPending = attempts.pending.has(leader.id);
            const next = yield* isPending ? locateUnlessEnded(attempts) : locate;
            // A search for a pending leader stops without a result when an attempt ends, which does not tell that none leads.
            if (next === undefined && (!isPending || attempts.ended.length === 0)) {
                forgetLeader(leader);
            }
            if (!isPending && (next === undefined || next.id === leader.id)) {
                yield* Effect.sleep(retryPauseMs);
            }
        }
        return mayHaveEffect || attempts.pending.size > 0
            ? { kind: "outcomeUnknown" } as const
            : createNoLeaderReply(request);
    }, Effect.scoped);

    /** Holds a request until the leader has answered it or its time has passed. */
    const forwardHeld = (request: JobRequest, deadlineMs: number, isProbe: boolean, trace: ForwardTrace) =>
        Effect.suspend(() => {
            heldRequests += 1;
            contact.isProbing ||= isProbe;
            return Effect.ensuring(
                retryUntil(request, deadlineMs, trace),
                Effect.sync(() => {
                    heldRequests -= 1;
                    contact.isProbing &&= !isProbe;
                }),
            );
        });

    const forwardRequest = Effect.fnUntraced(function*(request: JobRequest, budgetMs: number) {
        const startedMs = yield* readMonotonicMs;
        const trace: ForwardTrace = { attempts: 0, leader: undefined };
        const known = findLeader()?.id;
        recordLeader(contact, known, startedMs);
        // The process that leads handles a heartbeat itself at no cost.
        if (
            request.kind === "recordHeartbeat" && known !== link.self
            && acceptRepeatedHeartbeat(heartbeats, request.heartbeat, known, startedMs)
        ) {
            dependencies.metrics.countEvent("heartbeats.repeated", "", request.kind);
            return { kind: "done" } satisfies ForwardReply;
        }
        const held = heldRequests;
        const decision = decideHold(contact, request.kind === "submitJob", held, startedMs);
        if (decision.kind === "refuse") {
            dependencies.metrics.countEvent(`requests.refused.${decision.refusal}`, "", request.kind);
        }
        const reply: ForwardReply = decision.kind === "hold"
            ? yield* forwardHeld(request, startedMs + budgetMs, decision.isProbe, trace)
            : createNoLeaderReply(request);
        if (request.kind === "recordHeartbeat" && reply.kind === "done" && trace.leader !== undefined) {
            recordAcknowledged(heartbeats, request.heartbeat, trace.leader, startedMs);
        }
        if (request.kind === "removeWorker") {
            heartbeats.delete(request.worker);
        }
        const tookMs = (yield* readMonotonicMs) - startedMs;
        dependencies.metrics.recordDuration("requestMs", "", request.kind, tookMs);
        dependencies.metrics.countEvent(`replies.${reply.kind}`, "", request.kind);
        const writeLog = chooseLogMethod(logger, request, reply);
        writeLog("request answered", {
            ...describeJobRequest(request),
            reply: reply.kind,
            phase: reply.kind === "phase" ? reply.phase : undefined,
            leader: trace.leader,
            attempts: trace.attempts,
            tookMs: Math.round(tookMs),
            budgetMs: Math.round(budgetMs),
            ...describeRefusal(decision, held),
            retryAfterMs: reply.kind === "noLeader" ? reply.retryAfterMs : undefined,
        });
        return reply;
    });

    return {
        forwardRequest,
        hasLeader: () => findLeader() !== undefined,
        addSeeds: seeds => {
            seeds.forEach(seed => view.candidates.set(seed.id, seed));
        },
        keepLocating: Effect.forever(Effect.gen(function*() {
            recordLeader(contact, findLeader()?.id, yield* readMonotonicMs);
            if (findLeader() === undefined) {
                yield* locate;
            }
            yield* Effect.sleep(locateIntervalMs);
        })),
    };
}
