import type { Logger } from "@chestnutspool/logger";
import {
    awaitSocketReads,
    type Channel,
    type ChannelHandler,
    type ChannelName,
    describeCause,
    type ErrorData,
    keepRunning,
    type PeerId,
    readMonotonicMs,
} from "@chestnutspool/types";
import { Cause, Effect, Exit, Queue, Scope } from "effect";
import type { Frame } from "./frame.js";
import { type AnyHandler, createConnectionServer, type SendFrame } from "./serve-connection.js";

type PendingEvent =
    | { readonly kind: "item"; readonly body: unknown; }
    | { readonly kind: "end"; }
    | { readonly kind: "failure"; readonly error: ErrorData; };

/** A call with one reply that waits for it. */
interface PendingReply {
    readonly kind: "single";
    readonly peer: PeerId;
    readonly channel: ChannelName;
    readonly limitMs: number;
    /** When the call fails with `timeout`, in monotonic milliseconds. */
    readonly deadlineMs: number;
    readonly resume: (result: Effect.Effect<unknown, ErrorData>) => void;
    readonly onLateReply: ((reply: unknown) => void) | undefined;
}

/** A call that has timed out and whose caller still takes the reply. */
interface LateReply {
    readonly kind: "late";
    readonly peer: PeerId;
    /** When the call is cancelled, in monotonic milliseconds. */
    readonly deadlineMs: number;
    readonly onLateReply: (reply: unknown) => void;
}

type PendingCall =
    | PendingReply
    | LateReply
    | { readonly kind: "streamed"; readonly peer: PeerId; readonly events: Queue.Queue<PendingEvent>; };

/** Matches calls and replies of all channels of one process; the transports pass received frames to it. */
export interface ChannelHub {
    readonly openChannel: <Request, Reply>(
        name: ChannelName,
        handler: ChannelHandler<Request, Reply>,
    ) => Channel<Request, Reply>;
    /** Handles a frame that replies to a call of this process. */
    readonly handleReplyFrame: (peer: PeerId, frame: Frame) => void;
    /** Fails the calls in progress to a peer whose link broke. */
    readonly failCalls: (peer: PeerId) => void;
    /** Serves one accepted connection until the scope closes. */
    readonly serveConnection: (
        peer: PeerId,
        frames: Queue.Dequeue<Frame>,
        sendFrame: SendFrame,
    ) => Effect.Effect<never, never, Scope.Scope>;
}

/** Adds methods to the handler of a channel. A repeated method is an error, because it would replace the first one. */
function mergeHandlers(name: ChannelName, existing: AnyHandler | undefined, added: AnyHandler): AnyHandler {
    const repeated = Object.keys(added).find(method => existing !== undefined && method in existing);
    if (repeated !== undefined) {
        throw new Error(`channel "${name}" has a ${repeated} already; register each handler once`);
    }
    return { ...existing, ...added };
}

/**
 * Creates a hub; `sendToPeer` sends a frame over the link that this process opened to a peer. Frames that the process sends
 * to itself are handled locally, so that a process with several roles needs no link to itself.
 */
export const createChannelHub = Effect.fnUntraced(function*(
    self: PeerId,
    sendToPeer: (peer: PeerId, frame: Frame) => boolean,
    logger: Logger,
) {
    const handlers = new Map<ChannelName, AnyHandler>();
    const pending = new Map<number, PendingCall>();
    let nextId = 1;
    const localFrames = yield* Queue.unbounded<Frame>();
    const sendTo = (peer: PeerId, frame: Frame): boolean =>
        peer === self ? Queue.offerUnsafe(localFrames, frame) : sendToPeer(peer, frame);

    const createTimeout = (channel: ChannelName, peer: PeerId, limitMs: number): ErrorData => ({
        kind: "timeout",
        operation: `call on channel ${channel} to ${peer}`,
        limitMs,
    });

    const openStream = (peer: PeerId, channel: ChannelName, body: unknown) =>
        Effect.acquireRelease(
            Effect.gen(function*() {
                const events = yield* Queue.unbounded<PendingEvent>();
                const id = nextId++;
                pending.set(id, { kind: "streamed", peer, events });
                if (!sendTo(peer, { kind: "call", channel, id, streamed: true, body })) {
                    pending.delete(id);
                    return yield* Effect.fail<ErrorData>({ kind: "peerUnavailable", peer });
                }
                return { id, events };
            }),
            ({ id }, exit) =>
                Effect.sync(() => {
                    if (pending.delete(id) && Exit.isFailure(exit)) {
                        sendTo(peer, { kind: "cancel", id });
                    }
                }),
        );

    const callStream = (
        channel: ChannelName,
        peer: PeerId,
        body: unknown,
        limitMs: number,
        onReply: (reply: unknown) => Effect.Effect<void, ErrorData>,
    ) => Effect.scoped(Effect.gen(function*() {
        const { id, events } = yield* openStream(peer, channel, body);
        while (true) {
            const event = yield* Queue.take(events);
            switch (event.kind) {
                case "item":
                    yield* onReply(event.body);
                    sendTo(peer, { kind: "credit", id, items: 1 });
                    break;
                case "end":
                    return;
                case "failure":
                    return yield* Effect.fail(event.error);
            }
        }
    })).pipe(Effect.timeoutOrElse({
        duration: limitMs,
        orElse: () => Effect.fail(createTimeout(channel, peer, limitMs)),
    }));

    const expiryWake = yield* Queue.sliding<void>(1);
    let nextExpiryMs = Number.POSITIVE_INFINITY;
    let isClosed = false;

    const cancelCall = (id: number, peer: PeerId): void => {
        if (pending.delete(id)) {
            sendTo(peer, { kind: "cancel", id });
        }
    };

    const expireCall = (id: number, call: PendingReply | LateReply, nowMs: number): void => {
        if (call.kind === "late") {
            cancelCall(id, call.peer);
            return;
        }
        const { peer, channel, limitMs, onLateReply, resume } = call;
        const timeout = Effect.fail(createTimeout(channel, peer, limitMs));
        if (onLateReply === undefined) {
            pending.delete(id);
            // The caller comes first, because the peer may be unable to take a frame.
            resume(timeout);
            sendTo(peer, { kind: "cancel", id });
        }
        else {
            pending.set(id, { kind: "late", peer, deadlineMs: nowMs + limitMs, onLateReply });
            resume(timeout);
        }
    };

    /** Fails the calls whose time is over and returns the next deadline. */
    const expireCalls = (nowMs: number): number => {
        const isExpired = (call: PendingCall): call is PendingReply | LateReply =>
            call.kind !== "streamed" && call.deadlineMs <= nowMs;
        for (const [id, call] of [...pending]) {
            if (isExpired(call)) {
                expireCall(id, call, nowMs);
            }
        }
        let next = Number.POSITIVE_INFINITY;
        for (const call of pending.values()) {
            next = call.kind === "streamed" ? next : Math.min(next, call.deadlineMs);
        }
        return next;
    };

    // One timer serves all calls with one reply, because a timer and its fibers for each call cost more than the call.
    const runExpiry = Effect.gen(function*() {
        while (true) {
            const nowMs = yield* readMonotonicMs;
            if (nextExpiryMs <= nowMs) {
                // A reply that has arrived in time must not be lost because this process was busy.
                yield* awaitSocketReads;
            }
            nextExpiryMs = Number.POSITIVE_INFINITY;
            // A caller that resumes may begin a call with an earlier deadline meanwhile.
            nextExpiryMs = Math.min(expireCalls(nowMs), nextExpiryMs);
            const wake = Queue.take(expiryWake);
            yield* nextExpiryMs === Number.POSITIVE_INFINITY
                ? wake
                : Effect.timeoutOption(wake, nextExpiryMs - nowMs);
        }
    });

    const callPeer = (
        channel: ChannelName,
        peer: PeerId,
        body: unknown,
        limitMs: number,
        onLateReply?: (reply: unknown) => void,
    ) => Effect.flatMap(readMonotonicMs, nowMs =>
        Effect.callback<unknown, ErrorData>(resume => {
            const id = nextId++;
            const deadlineMs = nowMs + limitMs;
            pending.set(id, { kind: "single", peer, channel, limitMs, deadlineMs, resume, onLateReply });
            if (isClosed || !sendTo(peer, { kind: "call", channel, id, streamed: false, body })) {
                pending.delete(id);
                resume(Effect.fail<ErrorData>({ kind: "peerUnavailable", peer }));
                return;
            }
            if (deadlineMs < nextExpiryMs) {
                nextExpiryMs = deadlineMs;
                Queue.offerUnsafe(expiryWake, undefined);
            }
            return Effect.sync(() => cancelCall(id, peer));
        }));

    /** Passes on a late reply. An exception is logged, because it would end the process from within a socket's event. */
    const forwardLateReply = ({ peer, onLateReply }: LateReply, reply: unknown): void => {
        try {
            onLateReply(reply);
        }
        catch (cause) {
            logger.error("handler of a late reply failed", { peer, detail: describeCause(Cause.die(cause)) });
        }
    };

    const forwardEvent = (id: number, event: PendingEvent): void => {
        const call = pending.get(id);
        if (call === undefined) {
            return;
        }
        if (call.kind === "streamed") {
            Queue.offerUnsafe(call.events, event);
            return;
        }
        if (call.kind === "late") {
            pending.delete(id);
            if (event.kind === "item") {
                forwardLateReply(call, event.body);
            }
            return;
        }
        switch (event.kind) {
            case "item":
                pending.delete(id);
                call.resume(Effect.succeed(event.body));
                break;
            case "end":
                pending.delete(id);
                call.resume(Effect.fail<ErrorData>({ kind: "internal", detail: "a call ended without a reply" }));
                break;
            case "failure":
                pending.delete(id);
                call.resume(Effect.fail(event.error));
                break;
        }
    };

    const handleReplyFrame = (peer: PeerId, frame: Frame): void => {
        switch (frame.kind) {
            case "reply":
                forwardEvent(frame.id, { kind: "item", body: frame.body });
                forwardEvent(frame.id, { kind: "end" });
                break;
            case "item":
                forwardEvent(frame.id, { kind: "item", body: frame.body });
                break;
            case "end":
                forwardEvent(frame.id, { kind: "end" });
                break;
            case "failure":
                forwardEvent(frame.id, { kind: "failure", error: frame.error });
                break;
            case "hello":
            case "welcome":
            case "message":
            case "call":
            case "credit":
            case "cancel":
                logger.warn("unexpected frame dropped", { peer, frame: frame.kind });
                break;
        }
    };

    const failCalls = (isAffected: (call: PendingCall) => boolean): void => {
        for (const [id, call] of [...pending].filter(([, found]) => isAffected(found))) {
            const error: ErrorData = { kind: "outcomeUnknown", subject: `call to ${call.peer}` };
            forwardEvent(id, { kind: "failure", error });
        }
    };

    const serveConnection = createConnectionServer(handlers, logger);

    yield* Effect.forkScoped(serveConnection(self, localFrames, frame => {
        handleReplyFrame(self, frame);
        return true;
    }));

    yield* Effect.addFinalizer(() =>
        Effect.sync(() => {
            // No timer serves the calls after this.
            isClosed = true;
            failCalls(call => call.kind === "single");
        })
    );
    yield* Effect.forkScoped(
        keepRunning(
            runExpiry,
            detail => logger.error("loop failed; it is started again", { loop: "callExpiry", detail }),
        ),
    );

    const hub: ChannelHub = {
        openChannel: <Request, Reply>(
            name: ChannelName,
            handler: ChannelHandler<Request, Reply>,
        ): Channel<Request, Reply> => {
            handlers.set(name, mergeHandlers(name, handlers.get(name), handler as AnyHandler));
            return {
                sendMessage: (to, message) => sendTo(to, { kind: "message", channel: name, body: message }),
                callPeer: (to, request, limitMs, onLateReply) =>
                    Effect.map(
                        callPeer(name, to, request, limitMs, onLateReply as ((reply: unknown) => void) | undefined),
                        reply => reply as Reply,
                    ),
                callStream: (to, request, limitMs, onReply) =>
                    callStream(name, to, request, limitMs, reply => onReply(reply as Reply)),
            };
        },
        handleReplyFrame,
        failCalls: peer => failCalls(call => call.peer === peer),
        serveConnection,
    };
    return hub;
});
