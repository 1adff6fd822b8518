import { describeError } from "@chestnutspool/errors";
import type { Logger } from "@chestnutspool/logger";
import type { Channel, ChannelHandler, ChannelName, ErrorData, PeerId } from "@chestnutspool/types";
import { Cause, Effect, Exit, Fiber, Queue, Scope } from "effect";
import type { Frame } from "./frame.js";

/** Flow-control window: items of a streamed reply that may be sent before the receiver has handled one. */
const streamWindowItems = 16;

/** One direction of a link: sends frames to a peer; false when the link is down or its send buffer is full. */
export type SendFrame = (frame: Frame) => boolean;

type PendingEvent =
    | { readonly kind: "item"; readonly body: unknown; }
    | { readonly kind: "end"; }
    | { readonly kind: "failure"; readonly error: ErrorData; };

interface PendingCall {
    readonly peer: PeerId;
    readonly events: Queue.Queue<PendingEvent>;
}

interface ServedCall {
    readonly fiber: Fiber.Fiber<void>;
    readonly credit: Queue.Queue<number>;
}

type AnyHandler = ChannelHandler<unknown, unknown>;

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

    const openCall = (peer: PeerId, channel: ChannelName, streamed: boolean, body: unknown) =>
        Effect.acquireRelease(
            Effect.gen(function*() {
                const events = yield* Queue.unbounded<PendingEvent>();
                const id = nextId++;
                pending.set(id, { peer, events });
                if (!sendTo(peer, { kind: "call", channel, id, streamed, body })) {
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
        streamed: boolean,
        limitMs: number,
        onReply: (reply: unknown) => Effect.Effect<void, ErrorData>,
    ) => Effect.scoped(Effect.gen(function*() {
        const { id, events } = yield* openCall(peer, channel, streamed, body);
        while (true) {
            const event = yield* Queue.take(events);
            switch (event.kind) {
                case "item":
                    yield* onReply(event.body);
                    if (streamed) {
                        sendTo(peer, { kind: "credit", id, items: 1 });
                    }
                    break;
                case "end":
                    return;
                case "failure":
                    return yield* Effect.fail(event.error);
            }
        }
    })).pipe(Effect.timeoutOrElse({
        duration: limitMs,
        orElse: () =>
            Effect.fail<ErrorData>({ kind: "timeout", operation: `call on channel ${channel} to ${peer}`, limitMs }),
    }));

    const forwardEvents = (id: number, events: readonly PendingEvent[]): void => {
        const call = pending.get(id);
        if (call !== undefined) {
            Queue.offerAllUnsafe(call.events, events);
        }
    };

    const handleReplyFrame = (peer: PeerId, frame: Frame): void => {
        switch (frame.kind) {
            case "reply":
                forwardEvents(frame.id, [{ kind: "item", body: frame.body }, { kind: "end" }]);
                break;
            case "item":
                forwardEvents(frame.id, [{ kind: "item", body: frame.body }]);
                break;
            case "end":
                forwardEvents(frame.id, [{ kind: "end" }]);
                break;
            case "failure":
                forwardEvents(frame.id, [{ kind: "failure", error: frame.error }]);
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

    const runHandler = (
        handler: AnyHandler | undefined,
        peer: PeerId,
        frame: Extract<Frame, { kind: "call"; }>,
        credit: Queue.Queue<number>,
        sendFrame: SendFrame,
    ): Effect.Effect<Frame, ErrorData> => {
        if (frame.streamed && handler?.handleStream !== undefined) {
            let window = streamWindowItems;
            const emit = (body: unknown) =>
                Effect.gen(function*() {
                    while (window <= 0) {
                        window += yield* Queue.take(credit);
                    }
                    window -= 1;
                    if (!sendFrame({ kind: "item", id: frame.id, body })) {
                        return yield* Effect.fail<ErrorData>({ kind: "peerUnavailable", peer });
                    }
                });
            return Effect.as(handler.handleStream(peer, frame.body, emit), { kind: "end" as const, id: frame.id });
        }
        if (!frame.streamed && handler?.handleCall !== undefined) {
            return Effect.map(
                handler.handleCall(peer, frame.body),
                body => ({ kind: "reply" as const, id: frame.id, body }),
            );
        }
        return Effect.fail({
            kind: "internal",
            detail: `channel ${frame.channel} has no handler for this kind of call`,
        });
    };

    const serveCall = Effect.fnUntraced(function*(
        peer: PeerId,
        frame: Extract<Frame, { kind: "call"; }>,
        credit: Queue.Queue<number>,
        sendFrame: SendFrame,
    ) {
        const exit = yield* Effect.exit(runHandler(handlers.get(frame.channel), peer, frame, credit, sendFrame));
        if (Exit.isSuccess(exit)) {
            sendFrame(exit.value);
            return;
        }
        const known = Cause.findErrorOption(exit.cause);
        const error: ErrorData = known._tag === "Some"
            ? known.value
            : { kind: "internal", detail: Cause.pretty(exit.cause) };
        if (known._tag === "None" && !Cause.hasInterruptsOnly(exit.cause)) {
            logger.error("call handler failed", { peer, channel: frame.channel, detail: describeError(error) });
        }
        sendFrame({ kind: "failure", id: frame.id, error });
    });

    const serveConnection = Effect.fnUntraced(function*(
        peer: PeerId,
        frames: Queue.Dequeue<Frame>,
        sendFrame: SendFrame,
    ) {
        const scope = yield* Effect.scope;
        const served = new Map<number, ServedCall>();
        while (true) {
            const frame = yield* Queue.take(frames);
            switch (frame.kind) {
                case "message": {
                    const handler = handlers.get(frame.channel)?.handleMessage;
                    if (handler !== undefined) {
                        yield* handler(peer, frame.body);
                    }
                    break;
                }
                case "call": {
                    const credit = yield* Queue.unbounded<number>();
                    const call = serveCall(peer, frame, credit, sendFrame).pipe(
                        Effect.ensuring(Effect.sync(() => served.delete(frame.id))),
                    );
                    const fiber = yield* Effect.forkIn(call, scope);
                    served.set(frame.id, { fiber, credit });
                    break;
                }
                case "credit": {
                    const call = served.get(frame.id);
                    if (call !== undefined) {
                        Queue.offerUnsafe(call.credit, frame.items);
                    }
                    break;
                }
                case "cancel":
                    served.get(frame.id)?.fiber.interruptUnsafe();
                    break;
                case "hello":
                case "welcome":
                case "reply":
                case "item":
                case "end":
                case "failure":
                    logger.warn("unexpected frame dropped", { peer, frame: frame.kind });
                    break;
            }
        }
    });

    yield* Effect.forkScoped(serveConnection(self, localFrames, frame => {
        handleReplyFrame(self, frame);
        return true;
    }));

    const hub: ChannelHub = {
        openChannel: <Request, Reply>(
            name: ChannelName,
            handler: ChannelHandler<Request, Reply>,
        ): Channel<Request, Reply> => {
            handlers.set(name, mergeHandlers(name, handlers.get(name), handler as AnyHandler));
            return {
                sendMessage: (to, message) => sendTo(to, { kind: "message", channel: name, body: message }),
                callPeer: (to, request, limitMs) =>
                    Effect.gen(function*() {
                        const replies: Reply[] = [];
                        yield* callStream(name, to, request, false, limitMs, reply =>
                            Effect.sync(() => {
                                replies.push(reply as Reply);
                            }));
                        return replies[0] as Reply;
                    }),
                callStream: (to, request, limitMs, onReply) =>
                    callStream(name, to, request, true, limitMs, reply => onReply(reply as Reply)),
            };
        },
        handleReplyFrame,
        failCalls: peer => {
            for (const call of pending.values()) {
                if (call.peer === peer) {
                    const error: ErrorData = { kind: "outcomeUnknown", subject: `call to ${peer}` };
                    Queue.offerUnsafe(call.events, { kind: "failure", error });
                }
            }
        },
        serveConnection,
    };
    return hub;
});
