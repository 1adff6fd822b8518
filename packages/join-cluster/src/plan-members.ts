import type { ControlAddress, LogMember, MemberChange } from "@chestnutspool/types";

/** Silence after which a member may be replaced by one that wants to join, in milliseconds; longer than a restart takes. */
export const replaceableSilenceMs = 6_000;

/** A process that asks to become a member. */
export interface JoinRequest {
    readonly member: ControlAddress;
    readonly replicaIdentity: string;
}

/**
 * The next change on the way to a member list with the process that asks to join; undefined when it is a voting member. A
 * member whose data folder was replaced goes first. A member that has been silent for long makes room for a new one, so that
 * hosts that were exchanged do not raise the number of votes that a majority needs.
 */
export function planMemberChange(
    members: readonly LogMember[],
    request: JoinRequest,
    readSilenceMs: (member: string) => number,
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
    const silent = members.find(existing => readSilenceMs(existing.id) > replaceableSilenceMs);
    if (silent !== undefined) {
        return { kind: "removeMember", id: silent.id };
    }
    return { kind: "addLearner", id: member.id, address: member.address, replicaIdentity };
}
