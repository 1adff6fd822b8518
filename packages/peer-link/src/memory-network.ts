import type { Logger } from "@chestnutspool/logger";
import type { PeerId, PeerLink } from "@chestnutspool/types";
import { Effect, Exit, Queue, Scope } from "effect";
import { type ChannelHub, createChannelHub } from "./channel-hub.js";
import { decodeFrame, encodeFrame, type Frame } from "./frame.js";

/** A network within one process, for tests: links can be cut and delayed in each direction. */
export interface MemoryNetwork {
    /** Creates the link of one process; it is removed when the scope closes. */
    readonly createLink: (self: PeerId, logger: Logger) => Effect.Effect<PeerLink, never, Scope.Scope>;
    /** Drops all frames from one process to another until the cut is removed; neither process gets an error. */
    readonly setCut: (from: PeerId, to: PeerId, cut: boolean) => void;
    /** Sets the delay of each frame from one process to another, in milliseconds. */
    readonly setDelay: (from: PeerId, to: PeerId, delayMs: number) => void;
    /** Number of frames delivered since the start. */
    readonly countFrames: () => number;
}

interface Node {
    readonly hub: ChannelHub;
    readonly scope: Scope.Scope;
    /** Connections that other processes opened to this one. */
    readonly accepted: Map<PeerId, Queue.Queue<Frame>>;
    readonly peers: Set<PeerId>;
}

/** Creates a network without processes; its frames stop when the scope closes. */
export const createMemoryNetwork: Effect.Effect<MemoryNetwork, never, Scope.Scope> = Effect.gen(function*() {
    const networkScope = yield* Effect.scope;
    const runFork = Effect.runForkWith(yield* Effect.context<never>());
    const nodes = new Map<PeerId, Node>();
    const cuts = new Set<string>();
    const delays = new Map<string, number>();
    let delivered = 0;
    const formatPair = (from: PeerId, to: PeerId): string => `${from}>${to}`;

    const deliver = (
        from: PeerId,
        to: PeerId,
        frame: Frame,
        handleCopy: (node: Node, frame: Frame) => void,
    ): boolean => {
        if (!nodes.has(from) || !nodes.has(to)) {
            return false;
        }
        if (cuts.has(formatPair(from, to))) {
            return true;
        }
        const copy = decodeFrame(encodeFrame(frame));
        const deliverCopy = (): void => {
            const receiver = nodes.get(to);
            if (copy !== undefined && receiver !== undefined && !cuts.has(formatPair(from, to))) {
                delivered += 1;
                handleCopy(receiver, copy);
            }
        };
        const delayMs = delays.get(formatPair(from, to)) ?? 0;
        if (delayMs > 0) {
            runFork(Effect.forkIn(Effect.andThen(Effect.sleep(delayMs), Effect.sync(deliverCopy)), networkScope));
        }
        else {
            deliverCopy();
        }
        return true;
    };

    const openAccepted = (node: Node, self: PeerId, peer: PeerId): Queue.Queue<Frame> => {
        const existing = node.accepted.get(peer);
        if (existing !== undefined) {
            return existing;
        }
        // Not with `runSync`: a queue resumes its takers on the scheduler of the fiber that created the queue, and
        // `TestClock` waits only for the scheduler of the test.
        const created = runFork(Queue.unbounded<Frame>()).pollUnsafe();
        if (created === undefined || Exit.isFailure(created)) {
            throw new Error("the queue was not created synchronously");
        }
        const frames = created.value;
        node.accepted.set(peer, frames);
        const sendBack = (frame: Frame): boolean =>
            deliver(self, peer, frame, (receiver, copy) => receiver.hub.handleReplyFrame(self, copy));
        runFork(Effect.forkIn(Scope.provide(node.hub.serveConnection(peer, frames, sendBack), node.scope), node.scope));
        return frames;
    };

    const removeNode = (self: PeerId): void => {
        nodes.delete(self);
        for (const other of nodes.values()) {
            other.accepted.delete(self);
            other.hub.failCalls(self);
        }
    };

    const createLink = Effect.fnUntraced(function*(self: PeerId, logger: Logger) {
        const node: Node = {
            hub: yield* createChannelHub(self, (peer, frame) =>
                node.peers.has(peer)
                && deliver(self, peer, frame, (receiver, copy) => {
                    Queue.offerUnsafe(openAccepted(receiver, peer, self), copy);
                }), logger),
            scope: yield* Effect.scope,
            accepted: new Map(),
            peers: new Set(),
        };
        yield* Effect.acquireRelease(
            Effect.sync(() => nodes.set(self, node)),
            () => Effect.sync(() => removeNode(self)),
        );
        return {
            self,
            address: `memory:${self}`,
            openChannel: node.hub.openChannel,
            setPeer: peer => {
                node.peers.add(peer);
            },
            removePeer: peer => {
                node.peers.delete(peer);
            },
            isConnected: peer =>
                peer === self || node.peers.has(peer) && nodes.has(peer) && !cuts.has(formatPair(self, peer)),
        } satisfies PeerLink;
    });

    return {
        createLink,
        setCut: (from, to, cut) => {
            if (cut) {
                cuts.add(formatPair(from, to));
            }
            else {
                cuts.delete(formatPair(from, to));
            }
        },
        setDelay: (from, to, delayMs) => {
            delays.set(formatPair(from, to), delayMs);
        },
        countFrames: () => delivered,
    };
});
