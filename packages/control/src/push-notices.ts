import { type ClusterState, type ControlNotice, readMonotonicMs } from "@chestnutspool/types";
import { Effect } from "effect";
import type { ControlContext } from "./control-context.js";
import type { LeaderMemory } from "./leader-memory.js";
import { createOwnershipMap } from "./ownership-map.js";

/** Number of latest configuration revisions for which the leader keeps the time when it first saw them. */
const trackedRevisionLimit = 1_000;

function recordRevisions(memory: LeaderMemory, state: ClusterState, nowMs: number): void {
    const { revision } = state.configuration;
    const first = Math.max(memory.pushedRevision + 1, revision - trackedRevisionLimit);
    for (let seen = first; memory.pushedRevision >= 0 && seen <= revision; seen += 1) {
        memory.revisionSeenAtMs.set(seen, nowMs);
    }
    for (const seen of memory.revisionSeenAtMs.keys()) {
        if (seen > revision - trackedRevisionLimit) {
            break;
        }
        memory.revisionSeenAtMs.delete(seen);
    }
}

function sendToEntries(context: ControlContext, notice: ControlNotice): void {
    for (const entry of context.machine.state.entries.keys()) {
        // When a notice cannot be sent, the reply to a later session renewal carries its content.
        context.notices.sendMessage(entry, notice);
    }
}

/** Adds and removes links to the entry hosts; the replicated log manages the links to control replicas. */
export function updatePeers(context: ControlContext, linkedAddresses: Map<string, string>): void {
    const { link, log, machine } = context;
    for (const { entry, peerAddress } of machine.state.entries.values()) {
        if (entry !== link.self && linkedAddresses.get(entry) !== peerAddress) {
            link.setPeer(entry, peerAddress);
            linkedAddresses.set(entry, peerAddress);
        }
    }
    const members = new Set(log.readStatus().members.map(member => member.id));
    for (const peer of linkedAddresses.keys()) {
        if (!machine.state.entries.has(peer)) {
            linkedAddresses.delete(peer);
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
