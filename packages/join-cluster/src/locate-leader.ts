import type { Channel, ControlAddress, DirectoryReply, DirectoryRequest, PeerLink } from "@chestnutspool/types";
import { Effect, Option } from "effect";

/** Timeout of one `locate` call, in milliseconds; several round trips between availability zones. */
const locateTimeoutMs = 300;

/** What a process knows about the control processes. */
export interface ControlView {
    /** The last known leader; undefined while none is known. */
    leader: ControlAddress | undefined;
    /** Control processes that may know the leader, by id. */
    readonly candidates: Map<string, ControlAddress>;
}

/** Creates a view that knows the seeds only. */
export function createControlView(seeds: readonly ControlAddress[]): ControlView {
    return { leader: undefined, candidates: new Map(seeds.map(seed => [seed.id, seed])) };
}

/**
 * Adds the members of a reply to the candidates; with a leader, also sets it in the view and as a peer of the link.
 * Known candidates stay, because the member list may be outdated.
 */
export function recordDirectoryReply(view: ControlView, link: PeerLink, reply: DirectoryReply): void {
    for (const member of reply.members) {
        view.candidates.set(member.id, member);
    }
    if (reply.leader !== undefined) {
        view.leader = reply.leader;
        view.candidates.set(reply.leader.id, reply.leader);
        link.setPeer(reply.leader.id, reply.leader.address);
    }
}

/**
 * Asks all candidates concurrently and waits for each reply or its timeout. Returns the leader that the first candidate
 * in the order of the view names; undefined when none names one. A process that names itself takes precedence, because
 * the others may not know yet that the leader changed. For the same reason a process that answers and does not name itself
 * is not the leader, whoever names it.
 */
export const locateLeader = Effect.fnUntraced(function*(
    view: ControlView,
    link: PeerLink,
    channel: Channel<DirectoryRequest, DirectoryReply>,
) {
    const others = [...view.candidates.values()].filter(candidate => candidate.id !== link.self);
    for (const { id, address } of others) {
        link.setPeer(id, address);
    }
    const replies = yield* Effect.forEach(
        others,
        candidate =>
            Effect.map(Effect.option(channel.callPeer(candidate.id, { kind: "locate" }, locateTimeoutMs)), reply => ({
                from: candidate.id,
                reply: Option.getOrUndefined(reply),
            })),
        { concurrency: "unbounded" },
    );
    const answered = replies.filter(({ reply }) => reply?.leader !== undefined);
    const selfNamed = answered.find(({ from, reply }) => reply?.leader?.id === from);
    const hasAnswered = new Set(replies.flatMap(({ from, reply }) => reply === undefined ? [] : [from]));
    const hint = answered.find(({ reply }) => reply?.leader !== undefined && !hasAnswered.has(reply.leader.id));
    const chosen = (selfNamed ?? hint)?.reply;
    for (const { reply } of replies) {
        if (reply !== undefined) {
            recordDirectoryReply(view, link, { leader: undefined, members: reply.members });
        }
    }
    if (chosen !== undefined) {
        recordDirectoryReply(view, link, chosen);
    }
    return chosen?.leader;
});
