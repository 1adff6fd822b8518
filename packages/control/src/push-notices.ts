import { type ClusterState, type ControlNotice, readMonotonicMs } from "@chestnutspool/types";
import { Effect } from "effect";
import type { ControlContext } from "./context.js";
import type { LeaderMemory } from "./leader-memory.js";
import { createOwnershipMap } from "./ownership-map.js";

/** Revisions whose time of acceptance is remembered. */
const seenRevisionLimit = 1_000;

function recordRevisions(memory: LeaderMemory, state: ClusterState, nowMs: number): void {
    const { revision } = state.configuration;
    const first = Math.max(memory.pushedRevision + 1, revision - seenRevisionLimit);
    for (let seen = first; memory.pushedRevision >= 0 && seen <= revision; seen += 1) {
        memory.revisionSeenAtMs.set(seen, nowMs);
    }
    for (const seen of memory.revisionSeenAtMs.keys()) {
        if (seen > revision - seenRevisionLimit) {
            break;
        }
        memory.revisionSeenAtMs.delete(seen);
    }
}

function sendToEntries(context: ControlContext, notice: ControlNotice): void {
    for (const entry of context.machine.state.entries.keys()) {
        // A notice that cannot be sent is made up for by the next renewal of the session.
        context.notices.sendMessage(entry, notice);
    }
}

/** Keeps up links to the entry hosts; links to control replicas belong to the log. */
export function updatePeers(context: ControlContext, linked: Map<string, string>): void {
    const { link, log, machine } = context;
    for (const { entry, peerAddress } of machine.state.entries.values()) {
        if (entry !== link.self && linked.get(entry) !== peerAddress) {
            link.setPeer(entry, peerAddress);
            linked.set(entry, peerAddress);
        }
    }
    const members = new Set(log.readStatus().members.map(member => member.id));
    for (const peer of linked.keys()) {
        if (!machine.state.entries.has(peer)) {
            linked.delete(peer);
            if (!members.has(peer)) {
                link.removePeer(peer);
            }
        }
    }
}

/** Pushes the configuration and the ownership map to all entry hosts when they changed. */
export const pushNotices = Effect.fnUntraced(function*(context: ControlContext, memory: LeaderMemory) {
    const { state } = context.machine;
    const nowMs = yield* readMonotonicMs;
    if (memory.pushedRevision !== state.configuration.revision) {
        recordRevisions(memory, state, nowMs);
        memory.pushedRevision = state.configuration.revision;
        sendToEntries(context, { kind: "configuration", configuration: state.configuration });
    }
    if (memory.pushedOwnershipVersion !== state.ownershipVersion) {
        memory.pushedOwnershipVersion = state.ownershipVersion;
        sendToEntries(context, { kind: "ownership", ownership: createOwnershipMap(state) });
    }
});
