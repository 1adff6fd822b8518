import { type ErrorData, type LogMember, type MemberChange, type PeerId, readMonotonicMs } from "@chestnutspool/types";
import { Deferred, Effect } from "effect";
import { type Either, Left, Right } from "purify-ts";
import { setMemberLinks } from "./follow.js";
import { convertEither } from "./load-storage.js";
import { listMembers, listVoters, type Replica } from "./replica.js";
import { appendLeaderEntry, findLeaderError, updatePeerLoops } from "./replicate.js";

/** Time allowed for a learner to catch up, in milliseconds; a snapshot of several MiB takes a few seconds. */
const catchUpLimitMs = 60_000;
/** Interval at which the progress of a learner or of a transfer target is checked, in milliseconds. */
const progressPollMs = 5;

function planAddition(
    members: readonly LogMember[],
    change: Extract<MemberChange, { kind: "addLearner"; }>,
): Either<ErrorData, readonly LogMember[]> {
    const known = members.find(member => member.id === change.id);
    if (known !== undefined && known.replicaIdentity !== change.replicaIdentity) {
        const allowed = `the identity of member "${change.id}"; remove the old member first`;
        return Left({ kind: "invalidArgument", field: "replicaIdentity", seen: change.replicaIdentity, allowed });
    }
    const { id, address, replicaIdentity } = change;
    return Right(known === undefined ? [...members, { id, address, replicaIdentity, votes: false }] : members);
}

/** The member list after a change; the same list when the change is already in effect. */
export function planMembers(
    members: readonly LogMember[],
    change: MemberChange,
): Either<ErrorData, readonly LogMember[]> {
    if (change.kind === "addLearner") {
        return planAddition(members, change);
    }
    const known = members.find(member => member.id === change.id);
    if (known === undefined) {
        return Left({ kind: "notFound", object: "member", id: change.id });
    }
    if (change.kind === "promoteLearner") {
        const promoted = members.map(member => member === known ? { ...member, votes: true } : member);
        return Right(known.votes ? members : promoted);
    }
    const remaining = members.filter(member => member !== known);
    if (!remaining.some(member => member.votes)) {
        return Left({ kind: "invalidArgument", field: "id", seen: change.id, allowed: "not the last voting member" });
    }
    return Right(remaining);
}

function findIdentity(replica: Replica, id: PeerId): string | undefined {
    return listMembers(replica).find(member => member.id === id)?.replicaIdentity;
}

/** The error of a change that waits for a learner, once this replica no longer leads or the learner is no longer a member. */
function findWaitError(replica: Replica, id: PeerId, identity: string, nowMs: number): ErrorData | undefined {
    return findLeaderError(replica, nowMs)
        ?? (findIdentity(replica, id) === identity ? undefined : { kind: "notFound", object: "learner", id });
}

/**
 * Waits until a round of replication to the learner takes less than the shortest election timeout and no other change is
 * in progress. A round ends when the learner has synced the entries that were in the log at its start. Fails when the
 * learner is removed or replaced.
 */
const awaitCaughtUp = Effect.fnUntraced(function*(replica: Replica, id: PeerId, identity: string) {
    while (true) {
        const startMs = yield* readMonotonicMs;
        const target = replica.window.lastIndex();
        while ((replica.peers.get(id)?.matchIndex ?? 0) < target || isChangeInProgress(replica)) {
            yield* Effect.sleep(progressPollMs);
            const error = findWaitError(replica, id, identity, yield* readMonotonicMs);
            if (error !== undefined) {
                return yield* Effect.fail(error);
            }
        }
        if ((yield* readMonotonicMs) - startMs < replica.settings.electionTimeoutMinMs) {
            return;
        }
    }
});

const appendMembers = Effect.fnUntraced(function*(replica: Replica, members: readonly LogMember[], term: number) {
    const error = findLeaderError(replica, yield* readMonotonicMs);
    if (error !== undefined || replica.term !== term) {
        // In another term, the member list on which the change is based may have been replaced.
        return yield* Effect.fail(error ?? { kind: "notLeader" as const, leader: replica.leader });
    }
    const index = replica.window.lastIndex() + 1;
    const done = Deferred.makeUnsafe<unknown, ErrorData>();
    replica.proposals.set(index, { term: replica.term, done });
    appendLeaderEntry(replica, { kind: "members", index, term: replica.term, members });
    setMemberLinks(replica);
    yield* updatePeerLoops(replica, yield* readMonotonicMs);
    yield* Deferred.await(done);
});

function isChangeInProgress(replica: Replica): boolean {
    return replica.changingMember !== undefined || replica.window.membersIndex() > replica.commitIndex;
}

/** Waits for a learner that is to be promoted. Other changes may be made meanwhile, because the learner may be gone. */
const awaitLearner = Effect.fnUntraced(function*(replica: Replica, id: PeerId) {
    const { term } = replica;
    const known = listMembers(replica).find(member => member.id === id);
    if (known === undefined || known.votes) {
        return;
    }
    yield* Effect.timeoutOrElse(awaitCaughtUp(replica, id, known.replicaIdentity), {
        duration: catchUpLimitMs,
        orElse: () =>
            Effect.fail<ErrorData>({
                kind: "timeout",
                operation: `catching up of learner ${id}`,
                limitMs: catchUpLimitMs,
            }),
    });
    const error = replica.term === term
        ? findWaitError(replica, id, known.replicaIdentity, yield* readMonotonicMs)
        : { kind: "notLeader" as const, leader: replica.leader };
    if (error !== undefined) {
        return yield* Effect.fail(error);
    }
});

const runChange = Effect.fnUntraced(function*(replica: Replica, change: MemberChange) {
    const { term } = replica;
    const current = listMembers(replica);
    const planned = yield* convertEither(planMembers(current, change));
    if (planned !== current) {
        yield* appendMembers(replica, planned, term);
    }
});

/** The error of a change that cannot begin now; undefined when it can. */
function findChangeError(replica: Replica, change: MemberChange): ErrorData | undefined {
    if (replica.role !== "leader" || replica.commitIndex < replica.termStartIndex) {
        return { kind: "notLeader", leader: replica.leader };
    }
    return isChangeInProgress(replica)
        ? { kind: "membershipChangeInProgress", member: replica.changingMember ?? change.id }
        : undefined;
}

/**
 * Changes one member and waits until the new list is committed. The caller has confirmed the leadership, so an entry of
 * the current term is committed. Otherwise two member lists of different terms could have majorities that do not
 * overlap.
 */
export const changeMembers = Effect.fnUntraced(function*(replica: Replica, change: MemberChange) {
    let error = findChangeError(replica, change);
    if (error === undefined && change.kind === "promoteLearner") {
        yield* awaitLearner(replica, change.id);
        error = findChangeError(replica, change);
    }
    if (error !== undefined) {
        return yield* Effect.fail(error);
    }
    replica.changingMember = change.id;
    yield* Effect.ensuring(
        runChange(replica, change),
        Effect.sync(() => {
            replica.changingMember = undefined;
        }),
    );
});

function findTransferTarget(replica: Replica): PeerId | undefined {
    return listVoters(replica)
        .filter(voter => voter.id !== replica.self)
        .toSorted((left, right) =>
            (replica.peers.get(right.id)?.matchIndex ?? 0) - (replica.peers.get(left.id)?.matchIndex ?? 0)
        )[0]?.id;
}

/** Transfers leadership to the voter that has synced the most entries, after all proposed entries are committed. */
export const transferLeadership = Effect.fnUntraced(function*(
    replica: Replica,
    sendCampaign: (target: PeerId) => Effect.Effect<unknown, ErrorData>,
) {
    const error = findLeaderError(replica, yield* readMonotonicMs);
    if (error !== undefined) {
        return yield* Effect.fail(error);
    }
    const target = findTransferTarget(replica);
    if (target === undefined) {
        return yield* Effect.fail<ErrorData>({ kind: "notFound", object: "other voting member", id: replica.self });
    }
    const { term } = replica;
    const isLeading = (): boolean => replica.role === "leader" && replica.term === term;
    const isBehind = (): boolean => {
        const last = replica.window.lastIndex();
        return replica.commitIndex < last || (replica.peers.get(target)?.matchIndex ?? 0) < last;
    };
    const limitMs = replica.settings.electionTimeoutMaxMs * 2;
    replica.transferring = true;
    yield* Effect.gen(function*() {
        while (isLeading() && isBehind()) {
            yield* Effect.sleep(progressPollMs);
        }
        if (isLeading()) {
            yield* sendCampaign(target);
        }
        while (isLeading()) {
            yield* Effect.sleep(progressPollMs);
        }
    }).pipe(
        Effect.timeoutOrElse({
            duration: limitMs,
            orElse: () => Effect.fail<ErrorData>({ kind: "timeout", operation: `transfer to ${target}`, limitMs }),
        }),
        Effect.ensuring(Effect.sync(() => {
            replica.transferring = false;
        })),
    );
});
