import type { Channel, ControlReply, ControlRequest, ErrorData, PeerId } from "@chestnutspool/types";
import { Effect, Result } from "effect";
import type { EntryContext } from "./entry-context.js";

/**
 * When a call is retried: `certain` only after it was certainly not applied, `always` also after an unknown outcome,
 * which suits idempotent calls.
 */
export type CallRetryPolicy = "certain" | "always";

/** Calls the control leader. */
export interface ControlClient {
    /**
     * Retries a call, as its policy permits, until it is answered or the time limit has passed. Fails with the last
     * error, or with the unknown outcome of an earlier attempt.
     */
    readonly callLeader: (
        request: ControlRequest,
        limitMs: number,
        retryPolicy: CallRetryPolicy,
        /** Time for which the leader may hold the call before it answers (long poll), in milliseconds. */
        holdMs?: number,
    ) => Effect.Effect<Exclude<ControlReply, { kind: "error"; }>, ErrorData>;
    /** The replica that answered last, or that a `notLeader` error has named since; undefined when unknown. */
    readonly readLeader: () => PeerId | undefined;
}

/** Pause before the next replica is tried, in milliseconds; an election takes several pauses. */
const retryPauseMs = 30;
/** Time limit for the answer of one replica, in milliseconds; a partition may drop messages without an error. */
const replicaLimitMs = 1_500;

function isCertainlyNotApplied(error: ErrorData): boolean {
    return error.kind === "notLeader" || error.kind === "peerUnavailable";
}

function isOutcomeUnknown(error: ErrorData): boolean {
    return error.kind === "outcomeUnknown" || error.kind === "timeout";
}

/** Creates a client of the replicas that the settings name, and keeps links to them. */
export function createControlClient(context: EntryContext): ControlClient {
    const peers = context.settings.controlPeers;
    const channel: Channel<ControlRequest, ControlReply> = context.link.openChannel("control", {});
    let leader: PeerId | undefined;
    let roundRobinIndex = 0;
    for (const peer of peers) {
        context.link.setPeer(peer.id, peer.address);
    }

    const choosePeer = (): PeerId | undefined => {
        if (leader !== undefined && context.link.isConnected(leader)) {
            return leader;
        }
        const connected = peers.filter(peer => context.link.isConnected(peer.id));
        roundRobinIndex += 1;
        return connected[roundRobinIndex % Math.max(1, connected.length)]?.id;
    };

    const callReplica = Effect.fnUntraced(function*(peer: PeerId, request: ControlRequest, limitMs: number) {
        const reply = yield* channel.callPeer(peer, request, limitMs);
        if (reply.kind === "error") {
            return yield* Effect.fail(reply.error);
        }
        leader = peer;
        return reply;
    });

    /** Updates the known leader after a failure: a `notLeader` error may name it; after others it is unknown. */
    const recordFailure = (error: ErrorData): void => {
        leader = error.kind === "notLeader" && peers.some(peer => peer.id === error.leader) ? error.leader : undefined;
    };

    const callLeader: ControlClient["callLeader"] = Effect.fnUntraced(
        function*(request, limitMs, retryPolicy, holdMs = 0) {
            const endsAtMs = context.readNowMs() + limitMs;
            let lastError: ErrorData = { kind: "notLeader", leader: undefined };
            while (true) {
                const leftMs = endsAtMs - context.readNowMs();
                if (leftMs <= 0) {
                    return yield* Effect.fail(lastError);
                }
                const peer = choosePeer();
                if (peer !== undefined) {
                    const waitMs = retryPolicy === "always" ? Math.min(leftMs, replicaLimitMs + holdMs) : leftMs;
                    const result = yield* Effect.result(callReplica(peer, request, waitMs));
                    if (Result.isSuccess(result)) {
                        return result.success;
                    }
                    const mayRepeat = isCertainlyNotApplied(result.failure)
                        || (retryPolicy === "always" && isOutcomeUnknown(result.failure));
                    if (mayRepeat || isOutcomeUnknown(result.failure)) {
                        recordFailure(result.failure);
                    }
                    if (!mayRepeat) {
                        return yield* Effect.fail(result.failure);
                    }
                    // Once a call may have been applied, errors of later attempts do not replace the unknown outcome.
                    lastError = isOutcomeUnknown(lastError) ? lastError : result.failure;
                }
                yield* Effect.sleep(Math.min(retryPauseMs, Math.max(1, leftMs)));
            }
        },
    );

    return { callLeader, readLeader: () => leader };
}
