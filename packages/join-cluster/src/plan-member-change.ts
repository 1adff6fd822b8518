import type { ControlAddress, LogMember, MemberChange } from "@chestnutspool/types";

/** Time without contact after which a member may be removed, in milliseconds; longer than a restart. */
export const replaceAfterNoContactMs = 6_000;

/** A process that asks to become a member. */
export interface JoinRequest {
    readonly member: ControlAddress;
    readonly replicaIdentity: string;
}

/**
 * Plans the next change that is needed to make the joining process a voting member; undefined when it is one already. A
 * member whose data folder was replaced, which shows in its replica identity, is removed before it is added again.
 */
export function planMemberChange(members: readonly LogMember[], request: JoinRequest): MemberChange | undefined {
    const { member, replicaIdentity } = request;
    const known = members.find(existing => existing.id === member.id);
    if (known === undefined) {
        return { kind: "addLearner", id: member.id, address: member.address, replicaIdentity };
    }
    if (known.replicaIdentity !== replicaIdentity) {
        return { kind: "removeMember", id: known.id };
    }
    return known.votes ? undefined : { kind: "promoteLearner", id: known.id };
}

/**
 * Plans the removal of a member that has been silent for long; undefined when none is to be removed. A silent voter leaves
 * an even number of voters only, so that replaced hosts do not raise the number of votes that a majority needs. The
 * majority then needs one vote less, and the leader, which has contact with a majority of the larger list, has one more
 * than that: the loss of one more disk does not stop the cluster. From an odd number of voters the removal gains nothing,
 * and if disks are lost before a successor votes, the silent voter may hold the only other copy.
 */
export function planSilentRemoval(
    members: readonly LogMember[],
    readTimeSinceContactMs: (member: string) => number,
): MemberChange | undefined {
    const hasEvenVoters = members.filter(member => member.votes).length % 2 === 0;
    const silent = members.find(({ id, votes }) =>
        (!votes || hasEvenVoters) && readTimeSinceContactMs(id) > replaceAfterNoContactMs
    );
    return silent === undefined ? undefined : { kind: "removeMember", id: silent.id };
}
