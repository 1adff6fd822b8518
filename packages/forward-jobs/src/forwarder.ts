import { type ControlView, locateLeader } from "@chestnutspool/join-cluster";
import type { Logger } from "@chestnutspool/logger";
import type { Metrics } from "@chestnutspool/record-metrics";
import {
    type ControlAddress,
    describeRequest,
    type DirectoryReply,
    type DirectoryRequest,
    type ErrorData,
    type JobReply,
    type JobRequest,
    type PeerLink,
    readMonotonicMs,
} from "@chestnutspool/types";
import { Cause, Effect, Exit } from "effect";

/** Time allowed for one attempt at the leader, in milliseconds; a commit takes a few syncs of a disk. */
const attemptLimitMs = 400;
/** Pause before the leader is looked for again, in milliseconds. */
const searchPauseMs = 40;

/** Reply to a forwarded request; `noLeader` means that it was certainly not carried out. */
export type ForwardReply = Exclude<JobReply, { readonly kind: "notLeader"; }> | { readonly kind: "noLeader"; };

/** What a forwarder is built from. */
export interface ForwarderParts {
    readonly link: PeerLink;
    readonly view: ControlView;
    /** The leader as this process knows it without asking; undefined where it has no replica of the log. */
    readonly findLocalLeader: (() => ControlAddress | undefined) | undefined;
    /** Answers a request when this process leads; undefined where it has no replica of the log. */
    readonly handleLocally: ((request: JobRequest) => Effect.Effect<JobReply>) | undefined;
    readonly logger: Logger;
    readonly metrics: Metrics;
}

/** Brings requests to the leader. */
export interface Forwarder {
    /**
     * Tries until the leader has answered or the budget is used up. All requests may be repeated, because each carries an
     * id, version or sequence number.
     */
    readonly forwardRequest: (request: JobRequest, budgetMs: number) => Effect.Effect<ForwardReply>;
    /** Whether the leader is known. */
    readonly hasLeader: () => boolean;
    /** Takes further control processes that may know the leader. */
    readonly addSeeds: (seeds: readonly ControlAddress[]) => void;
    /** Looks for the leader until it is known. */
    readonly keepLocating: Effect.Effect<never>;
}

/** Interval at which a process without a known leader looks for one, in milliseconds. */
const locateIntervalMs = 200;

/** Whether a failed call may have had an effect. */
function isUncertain(error: ErrorData): boolean {
    return error.kind !== "peerUnavailable";
}

/** What was tried for a request. */
interface ForwardTrace {
    attempts: number;
    leader: string | undefined;
}

/** Chooses the level of the line for a reply: what went wrong always, what changes a job always, plain reads for debugging. */
function chooseWriter(logger: Logger, request: JobRequest, reply: ForwardReply): Logger["info"] {
    if (reply.kind === "noLeader" || reply.kind === "outcomeUnknown") {
        return logger.warn;
    }
    const isUsual = reply.kind === "phase" || reply.kind === "pending" || reply.kind === "wave"
        || request.kind === "recordHeartbeat" || request.kind === "readConfiguration";
    return isUsual ? logger.debug : logger.info;
}

/** Creates a forwarder on the link of this process. */
export function createForwarder(parts: ForwarderParts): Forwarder {
    const { link, view, logger } = parts;
    const jobs = link.openChannel<JobRequest, JobReply>("jobs", {});
    const directory = link.openChannel<DirectoryRequest, DirectoryReply>("directory", {});

    /** Leader of the last log line; many requests look for it at the same time. */
    let announcedLeader: string | undefined;

    const findLeader = (): ControlAddress | undefined => parts.findLocalLeader?.() ?? view.leader;

    const forgetLeader = (leader: ControlAddress): void => {
        if (view.leader?.id === leader.id) {
            view.leader = undefined;
            announcedLeader = undefined;
            logger.info("control leader lost", { leader: leader.id });
        }
    };

    const locate = Effect.gen(function*() {
        const leader = yield* locateLeader(view, link, directory);
        if (leader !== undefined && leader.id !== announcedLeader) {
            announcedLeader = leader.id;
            logger.info("control leader found", { leader: leader.id });
        }
        return leader;
    });

    /** One attempt: a reply, or whether the attempt may have had an effect. */
    const attempt = Effect.fnUntraced(function*(leader: ControlAddress, request: JobRequest, limitMs: number) {
        if (leader.id === link.self && parts.handleLocally !== undefined) {
            return yield* parts.handleLocally(request);
        }
        link.setPeer(leader.id, leader.address);
        const exit = yield* Effect.exit(jobs.callPeer(leader.id, request, limitMs));
        if (Exit.isSuccess(exit)) {
            return exit.value;
        }
        const error = Cause.findErrorOption(exit.cause);
        const uncertain = error._tag === "None" || isUncertain(error.value);
        return uncertain ? { kind: "outcomeUnknown" } as const : { kind: "notLeader", leader: undefined } as const;
    });

    const attemptUntil = Effect.fnUntraced(function*(request: JobRequest, endMs: number, trace: ForwardTrace) {
        let mayHaveEffect = false;
        for (let nowMs = yield* readMonotonicMs; nowMs < endMs; nowMs = yield* readMonotonicMs) {
            const leader = findLeader() ?? (yield* locate);
            if (leader === undefined) {
                yield* Effect.sleep(searchPauseMs);
                continue;
            }
            trace.attempts += 1;
            trace.leader = leader.id;
            const reply = yield* attempt(leader, request, Math.min(attemptLimitMs, endMs - nowMs));
            if (reply.kind !== "notLeader" && reply.kind !== "outcomeUnknown") {
                return reply satisfies ForwardReply;
            }
            mayHaveEffect ||= reply.kind === "outcomeUnknown";
            const next = yield* locate;
            if (next === undefined || next.id === leader.id) {
                if (next === undefined) {
                    forgetLeader(leader);
                }
                yield* Effect.sleep(searchPauseMs);
            }
        }
        return mayHaveEffect ? { kind: "outcomeUnknown" } as const : { kind: "noLeader" } as const;
    });

    const forwardRequest = Effect.fnUntraced(function*(request: JobRequest, budgetMs: number) {
        const startedMs = yield* readMonotonicMs;
        const trace: ForwardTrace = { attempts: 0, leader: undefined };
        const reply: ForwardReply = yield* attemptUntil(request, startedMs + budgetMs, trace);
        const tookMs = (yield* readMonotonicMs) - startedMs;
        parts.metrics.recordDuration("requestMs", "", request.kind, tookMs);
        parts.metrics.countEvent(`replies.${reply.kind}`, "", request.kind);
        const write = chooseWriter(logger, request, reply);
        write("request answered", {
            ...describeRequest(request),
            reply: reply.kind,
            phase: reply.kind === "phase" ? reply.phase : undefined,
            leader: trace.leader,
            attempts: trace.attempts,
            tookMs: Math.round(tookMs),
            budgetMs: Math.round(budgetMs),
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
            if (findLeader() === undefined) {
                yield* locate;
            }
            yield* Effect.sleep(locateIntervalMs);
        })),
    };
}
