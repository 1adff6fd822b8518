import { describeError } from "@chestnutspool/errors";
import type { Logger } from "@chestnutspool/logger";
import {
    type ChannelHandler,
    type ChannelName,
    describeCause,
    type ErrorData,
    type PeerId,
} from "@chestnutspool/types";
import { Cause, Effect, Fiber, Queue } from "effect";
import type { Frame } from "./frame.js";

/** Flow-control window: items of a streamed reply that may be sent before the receiver has handled one. */
const streamWindowItems = 16;

/** One direction of a link: sends frames to a peer; false when the link is down or its send buffer is full. */
export type SendFrame = (frame: Frame) => boolean;

/** Handler of a channel whose types are not known. */
export type AnyHandler = ChannelHandler<unknown, unknown>;

interface ServedCall {
    readonly fiber: Fiber.Fiber<void>;
    /** Undefined for a call with one reply, which has no flow control. */
    readonly credit: Queue.Queue<number> | undefined;
}

/** Creates the function that serves the frames of one accepted connection with `handlers` until the scope closes. */
export function createConnectionServer(handlers: ReadonlyMap<ChannelName, AnyHandler>, logger: Logger) {
    /** Runs the handler of a call. It is run with `yield*`, which takes a handler that returns no effect for a failure. */
    const runHandler = Effect.fnUntraced(function*(
        peer: PeerId,
        frame: Extract<Frame, { kind: "call"; }>,
        credit: Queue.Queue<number> | undefined,
        sendFrame: SendFrame,
    ) {
        const { channel, id } = frame;
        const handler = handlers.get(channel);
        if (credit !== undefined && handler?.handleStream !== undefined) {
            let window = streamWindowItems;
            const emit = (body: unknown) =>
                Effect.gen(function*() {
                    while (window <= 0) {
                        window += yield* Queue.take(credit);
                    }
                    window -= 1;
                    if (!sendFrame({ kind: "item", id, body })) {
                        return yield* Effect.fail<ErrorData>({ kind: "peerUnavailable", peer });
                    }
                });
            yield* handler.handleStream(peer, frame.body, emit);
            sendFrame({ kind: "end", id });
            return;
        }
        if (credit === undefined && handler?.handleCall !== undefined) {
            sendFrame({ kind: "reply", id, body: yield* handler.handleCall(peer, frame.body) });
            return;
        }
        const detail = `channel ${channel} has no handler for this kind of call`;
        return yield* Effect.fail<ErrorData>({ kind: "internal", detail });
    });

    const serveCall = (
        peer: PeerId,
        frame: Extract<Frame, { kind: "call"; }>,
        credit: Queue.Queue<number> | undefined,
        sendFrame: SendFrame,
    ): Effect.Effect<void> =>
        Effect.matchCause(runHandler(peer, frame, credit, sendFrame), {
            onSuccess: () => undefined,
            onFailure: cause => {
                const known = Cause.findErrorOption(cause);
                const error: ErrorData = known._tag === "Some"
                    ? known.value
                    : { kind: "internal", detail: describeCause(cause) };
                if (known._tag === "None" && !Cause.hasInterruptsOnly(cause)) {
                    logger.error("call handler failed", {
                        peer,
                        channel: frame.channel,
                        detail: describeError(error),
                    });
                }
                sendFrame({ kind: "failure", id: frame.id, error });
            },
        });

    /** Handles a message. A failure is only logged, because it must not end the serving of the whole connection. */
    const forwardMessage = (
        peer: PeerId,
        { channel, body }: Extract<Frame, { kind: "message"; }>,
    ): Effect.Effect<void> =>
        Effect.catchCause(
            Effect.gen(function*() {
                const handler = handlers.get(channel)?.handleMessage;
                if (handler !== undefined) {
                    yield* handler(peer, body);
                }
            }),
            cause =>
                Effect.sync(() =>
                    logger.error("message handler failed", { peer, channel, detail: describeCause(cause) })
                ),
        );

    return Effect.fnUntraced(function*(
        peer: PeerId,
        frames: Queue.Dequeue<Frame>,
        sendFrame: SendFrame,
    ) {
        const scope = yield* Effect.scope;
        const served = new Map<number, ServedCall>();
        while (true) {
            const frame = yield* Queue.take(frames);
            switch (frame.kind) {
                case "message":
                    yield* forwardMessage(peer, frame);
                    break;
                case "call": {
                    const credit = frame.streamed ? yield* Queue.unbounded<number>() : undefined;
                    const call = serveCall(peer, frame, credit, sendFrame).pipe(
                        Effect.ensuring(Effect.sync(() => served.delete(frame.id))),
                    );
                    const fiber = yield* Effect.forkIn(call, scope);
                    served.set(frame.id, { fiber, credit });
                    break;
                }
                case "credit": {
                    const credit = served.get(frame.id)?.credit;
                    if (credit !== undefined) {
                        Queue.offerUnsafe(credit, frame.items);
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
}
