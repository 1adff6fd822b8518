import type { LogMember } from "@chestnutspool/types";
import { awaitSocketReads, readMonotonicMs } from "@chestnutspool/types";
import { Deferred, Effect, Option, Queue } from "effect";
import { logProtocolVersion, type LogReply, type VoteRequest } from "./messages.js";
import {
    awaitHardState,
    awaitWake,
    canReplicate,
    checkLeadership,
    countMajority,
    isVoter,
    listVoters,
    notifyStatusListeners,
    type Replica,
    setElectionDeadline,
    setFollower,
    setVote,
    type TransferRequest,
} from "./replica.js";
import { startLeading } from "./replicate.js";

function createVoteRequest(
    replica: Replica,
    voter: LogMember,
    term: number,
    preVote: boolean,
    transfer: boolean,
): VoteRequest {
    return {
        kind: "vote",
        version: logProtocolVersion,
        term,
        toIdentity: voter.replicaIdentity,
        fromIdentity: replica.identity,
        preVote,
        transfer,
        lastIndex: replica.window.lastIndex(),
        lastTerm: replica.window.lastTerm(),
    };
}

/** Asks the other voters for their votes; true as soon as a majority, this replica included, grants the vote. */
const collectVotes = (replica: Replica, term: number, preVote: boolean, transfer: boolean) =>
    Effect.scoped(Effect.gen(function*() {
        const others = listVoters(replica).filter(voter => voter.id !== replica.self);
        const startTerm = replica.term;
        const limitMs = replica.settings.electionTimeoutMinMs / 2;
        const replies = yield* Queue.unbounded<Option.Option<LogReply>>();
        for (const voter of others) {
            const request = createVoteRequest(replica, voter, term, preVote, transfer);
            const call = Effect.option(replica.channel.callPeer(voter.id, request, limitMs));
            yield* Effect.forkScoped(Effect.flatMap(call, reply => Queue.offer(replies, reply)));
        }
        let granted = 1;
        for (let answered = 0; answered < others.length && granted < countMajority(replica); answered += 1) {
            const reply = Option.getOrUndefined(yield* Queue.take(replies));
            if (replica.term !== startTerm || replica.role !== "candidate") {
                return false;
            }
            if (reply?.kind === "vote") {
                granted += reply.granted ? 1 : 0;
                if (!reply.granted && reply.term > replica.term) {
                    setFollower(replica, reply.term, undefined);
                    return false;
                }
            }
        }
        return granted >= countMajority(replica) && replica.term === startTerm && replica.role === "candidate";
    }));

function setCandidate(replica: Replica): void {
    replica.role = "candidate";
    replica.leader = undefined;
    notifyStatusListeners(replica);
}

/** Campaigns for leadership: a pre-vote, which changes no term, then the vote. A requested transfer skips the pre-vote. */
const campaign = Effect.fnUntraced(function*(replica: Replica, transfer: boolean) {
    const { electionTimeoutMinMs, electionTimeoutMaxMs, heartbeatMs } = replica.settings;
    setCandidate(replica);
    if (!transfer && !(yield* collectVotes(replica, replica.term + 1, true, false))) {
        // A pre-vote changes nothing at the other replicas, so it is retried sooner than an election.
        setElectionDeadline(replica, yield* readMonotonicMs, heartbeatMs, electionTimeoutMinMs);
        return;
    }
    setElectionDeadline(replica, yield* readMonotonicMs, electionTimeoutMinMs, electionTimeoutMaxMs);
    setVote(replica, replica.term + 1, replica.identity);
    notifyStatusListeners(replica);
    const { term } = replica;
    yield* awaitHardState(replica);
    if (replica.term !== term || replica.role !== "candidate") {
        return;
    }
    if (yield* collectVotes(replica, term, false, transfer)) {
        yield* startLeading(replica, yield* readMonotonicMs);
    }
});

/** Whether this replica may become the leader; without a disk that takes its vote for itself it would wait in vain. */
function canCampaign(replica: Replica): boolean {
    return isVoter(replica) && replica.storage.readStatus().state === "working";
}

/** Whether the disk takes a write of the unchanged term and vote within a time limit. */
const canWriteHardState = Effect.fnUntraced(function*(replica: Replica, limitMs: number) {
    const { self, identity, term, votedFor } = replica;
    const stored = Deferred.await(replica.storage.saveHardState({ self, identity, term, votedFor }));
    return Option.isSome(yield* Effect.timeoutOption(stored, limitMs));
});

/**
 * Carries out a requested transfer, or drops it when it cannot start before its end: the leader has given it up by then, and a
 * later election would only disrupt that leader. The disk is tested first, because a term that was raised cannot be lowered.
 */
const attemptTransfer = Effect.fnUntraced(function*(replica: Replica, { term, endsAtMs }: TransferRequest) {
    const isDue = (nowMs: number): boolean =>
        canCampaign(replica) && replica.role === "follower" && replica.term === term && nowMs < endsAtMs;
    const nowMs = yield* readMonotonicMs;
    if (isDue(nowMs) && (yield* canWriteHardState(replica, endsAtMs - nowMs)) && isDue(yield* readMonotonicMs)) {
        yield* campaign(replica, true);
    }
    else {
        replica.logger.warn("requested transfer of leadership was dropped", { term });
    }
});

/** Runs the election timer; a leader without contact with a majority steps down here too. */
export const runElectionTimer = Effect.fnUntraced(function*(replica: Replica) {
    while (replica.role !== "stopped") {
        const nowMs = yield* readMonotonicMs;
        if (replica.role === "leader") {
            if (!replica.storage.hasRoom()) {
                replica.logger.warn("too much waits for the disk; stepping down", { term: replica.term });
                setFollower(replica, replica.term, undefined);
            }
            else if (canReplicate(replica, nowMs)) {
                yield* awaitWake(replica.timerWake, replica.settings.heartbeatMs);
            }
            else {
                // A process that was busy may not have read the answers of its followers yet.
                yield* awaitSocketReads;
                checkLeadership(replica, yield* readMonotonicMs);
            }
            continue;
        }
        const remainingMs = replica.electionDeadlineMs - nowMs;
        const { transferRequest } = replica;
        if (transferRequest !== undefined) {
            replica.transferRequest = undefined;
            yield* attemptTransfer(replica, transferRequest);
        }
        else if (canCampaign(replica) && remainingMs <= 0) {
            yield* campaign(replica, false);
        }
        else {
            yield* awaitWake(replica.timerWake, remainingMs > 0 ? remainingMs : replica.settings.electionTimeoutMinMs);
        }
    }
});

function isUpToDate(replica: Replica, request: VoteRequest): boolean {
    const lastTerm = replica.window.lastTerm();
    return request.lastTerm > lastTerm
        || request.lastTerm === lastTerm && request.lastIndex >= replica.window.lastIndex();
}

/**
 * Whether this replica leads or had contact with a leader within the shortest election timeout, so that an election would
 * only disrupt that leader.
 */
function hasLiveLeader(replica: Replica, nowMs: number): boolean {
    return checkLeadership(replica, nowMs)
        || nowMs - replica.leaderContactMs < replica.settings.electionTimeoutMinMs;
}

/** Handles a request for a vote; the vote is synced before the reply. */
export const handleVote = Effect.fnUntraced(function*(replica: Replica, request: VoteRequest) {
    const nowMs = yield* readMonotonicMs;
    let granted = request.term > replica.term || !request.preVote && request.term === replica.term;
    granted &&= request.transfer || !hasLiveLeader(replica, nowMs);
    if (granted && !request.preVote && request.term > replica.term) {
        setFollower(replica, request.term, undefined);
    }
    granted &&= isUpToDate(replica, request);
    if (granted && !request.preVote) {
        granted = replica.votedFor === undefined || replica.votedFor === request.fromIdentity;
        if (granted) {
            setVote(replica, request.term, request.fromIdentity);
            const { electionTimeoutMinMs, electionTimeoutMaxMs } = replica.settings;
            setElectionDeadline(replica, nowMs, electionTimeoutMinMs, electionTimeoutMaxMs);
        }
    }
    const { term } = replica;
    yield* awaitHardState(replica);
    return { kind: "vote", term, granted } satisfies LogReply;
});
