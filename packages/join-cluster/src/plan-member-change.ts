import type { ControlAddress, LogMember, MemberChange } from "@chestnutspool/types";

/** Time without contact after which a joining process may replace a member, in milliseconds; longer than a restart. */
export const replaceAfterNoContactMs = 6_000;

/** A process that asks to become a member. */
export interface JoinRequest {
    readonly member: ControlAddress;
    readonly replicaIdentity: string;
}

/**
 * Plans the next change that is needed to make the joining process a voting member; undefined when it is one already. A
 * member whose data folder was replaced, which shows in its replica identity, is removed before it is added again. A
 * member that has been silent for long is removed before a new one is added, so that replaced hosts do not raise the
 * number of votes that a majority needs.
 */
export function planMemberChange(
    members: readonly LogMember[],
    request: JoinRequest,
    readTimeSinceContactMs: (member: string) => number,
): MemberChange | undefined {
    const { member, replicaIdentity } = request;
    const known = members.find(existing => existing.id === member.id);
    if (known !== undefined && known.replicaIdentity !== replicaIdentity) {
        return { kind: "removeMember", id: known.id };
    }
    if (known?.votes === true) {
        return undefined;
    }
    if (known !== undefined) {
        return { kind: "promoteLearner", id: known.id };
    }
    const silent = members.find(existing => readTimeSinceContactMs(existing.id) > replaceAfterNoContactMs);
    if (silent !== undefined) {
        return { kind: "removeMember", id: silent.id };
    }
    return { kind: "addLearner", id: member.id, address: member.address, replicaIdentity };
}
