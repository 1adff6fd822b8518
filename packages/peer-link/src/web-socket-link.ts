import type { Logger } from "@chestnutspool/logger";
import {
    type ErrorData,
    keepRunning,
    type PeerId,
    type PeerLink,
    peerProtocolVersion,
    readMonotonicMs,
} from "@chestnutspool/types";
import { Effect, Exit, FiberMap, Queue } from "effect";
import { createServer, type Server } from "node:http";
import type { AddressInfo, Socket } from "node:net";
import { WebSocket, WebSocketServer } from "ws";
import { createChannelHub } from "./channel-hub.js";
import { decodeFrame, encodeFrame, type Frame, frameLimitBytes } from "./frame.js";

/** Bytes that may wait in the send buffer of one link; beyond this limit sending fails, so that memory use is bounded. */
const sendBufferLimitBytes = 16 * 1024 * 1024;
/** Interval of pings in milliseconds. */
const pingIntervalMs = 1_000;
/** Time without received data after which a link is closed, in milliseconds; TCP alone does not detect a silent cut. */
const silenceLimitMs = 3_000;
/** Pause before a link is opened again, in milliseconds. */
const reconnectPauseMs = 200;
/** Time allowed for opening a link, in milliseconds. */
const openLimitMs = 2_000;

/** Identity of a process and the address on which it accepts links. */
export interface WebSocketLinkOptions {
    readonly self: PeerId;
    /** IP address to listen on. */
    readonly listenHost: string;
    /** Port to listen on; 0 lets the operating system choose. */
    readonly listenPort: number;
}

/**
 * Sets the mask of a client's frame to zero, so that the payload is sent unchanged. A random mask protects caches of web
 * proxies from scripts in browsers; there are neither between processes.
 */
function fillZeroMask(mask: Buffer): void {
    mask.fill(0);
}

type SocketEvent =
    | { readonly kind: "frame"; readonly frame: Frame; }
    | { readonly kind: "closed"; };

/** A WebSocket and the TCP socket below it. */
interface LinkSocket {
    readonly webSocket: WebSocket;
    /** Undefined until the handshake. */
    tcpSocket: Socket | undefined;
    isCorked: boolean;
}

function createLinkSocket(webSocket: WebSocket, tcpSocket: Socket | undefined): LinkSocket {
    return { webSocket, tcpSocket, isCorked: false };
}

/** Holds back writes until the end of this turn of the event loop, because each system call costs more than a frame. */
function corkUntilTurnEnds(socket: LinkSocket): void {
    const { tcpSocket } = socket;
    if (tcpSocket === undefined || socket.isCorked) {
        return;
    }
    socket.isCorked = true;
    tcpSocket.cork();
    process.nextTick(() => {
        socket.isCorked = false;
        tcpSocket.uncork();
    });
}

function sendFrame(link: LinkSocket, frame: Frame, logger: Logger): boolean {
    const socket = link.webSocket;
    if (socket.readyState !== WebSocket.OPEN || socket.bufferedAmount > sendBufferLimitBytes) {
        return false;
    }
    const bytes = encodeFrame(frame);
    if (bytes.length > frameLimitBytes) {
        logger.error("frame exceeds the limit and was not sent", { bytes: bytes.length, limitBytes: frameLimitBytes });
        return false;
    }
    corkUntilTurnEnds(link);
    socket.send(bytes);
    return true;
}

/** What a socket reports. Frames go to the queue until `passFrames` names a receiver, which gets the waiting ones first. */
interface SocketEvents {
    readonly queue: Queue.Queue<SocketEvent>;
    readonly passFrames: (receive: (frame: Frame) => void) => void;
}

function openEvents(socket: WebSocket, logger: Logger): Effect.Effect<SocketEvents> {
    return Effect.map(Queue.unbounded<SocketEvent>(), queue => {
        let receive = (frame: Frame): void => {
            Queue.offerUnsafe(queue, { kind: "frame", frame });
        };
        socket.on("message", (data: Buffer) => {
            const frame = decodeFrame(data);
            if (frame === undefined) {
                logger.warn("received a frame that cannot be decoded; closing the link", { bytes: data.length });
                socket.terminate();
                return;
            }
            receive(frame);
        });
        socket.on("close", () => Queue.offerUnsafe(queue, { kind: "closed" }));
        socket.on("error", error => {
            logger.debug("link error", { detail: error.message });
            socket.terminate();
        });
        return {
            queue,
            passFrames: chosen => {
                let waiting = Queue.takeUnsafe(queue);
                while (waiting !== undefined && Exit.isSuccess(waiting) && waiting.value.kind === "frame") {
                    chosen(waiting.value.frame);
                    waiting = Queue.takeUnsafe(queue);
                }
                if (waiting !== undefined && Exit.isSuccess(waiting)) {
                    Queue.offerUnsafe(queue, waiting.value);
                }
                receive = chosen;
            },
        };
    });
}

/** Passes all further frames to `receive` and waits until the socket is closed. */
function passFramesUntilClosed(events: SocketEvents, receive: (frame: Frame) => void): Effect.Effect<void> {
    return Effect.suspend(() => {
        events.passFrames(receive);
        return Effect.asVoid(Queue.take(events.queue));
    });
}

/** Awaits the first event; closes the socket and returns `closed` when there is none within `silenceLimitMs`. */
function awaitFirstEvent(socket: WebSocket, events: SocketEvents): Effect.Effect<SocketEvent> {
    return Queue.take(events.queue).pipe(Effect.timeoutOrElse({
        duration: silenceLimitMs,
        orElse: () =>
            Effect.sync((): SocketEvent => {
                socket.terminate();
                return { kind: "closed" };
            }),
    }));
}

/**
 * Sends pings and closes the socket when nothing was received for `silenceLimitMs`. There is one timer for each socket,
 * because a timeout for each frame costs more than handling the frame.
 */
const watchSocket = Effect.fnUntraced(function*(socket: WebSocket) {
    let receivedAtMs = yield* readMonotonicMs;
    let hasReceived = false;
    const recordReceived = (): void => {
        hasReceived = true;
    };
    socket.on("message", recordReceived);
    socket.on("pong", recordReceived);
    socket.on("ping", recordReceived);
    while (socket.readyState === WebSocket.OPEN) {
        const startedMs = yield* readMonotonicMs;
        yield* Effect.sleep(pingIntervalMs);
        const nowMs = yield* readMonotonicMs;
        // After a pause of this process, data that the peer sent in the meantime has not been read yet.
        const wasPaused = nowMs - startedMs >= silenceLimitMs;
        if (hasReceived || wasPaused) {
            hasReceived = false;
            receivedAtMs = nowMs;
        }
        if (nowMs - receivedAtMs >= silenceLimitMs) {
            socket.terminate();
            return;
        }
        if (socket.readyState === WebSocket.OPEN) {
            socket.ping();
        }
    }
});

function listen(server: Server, host: string, port: number): Effect.Effect<number, ErrorData> {
    return Effect.callback(resume => {
        server.once("error", error =>
            resume(Effect.fail({
                kind: "serviceFailed",
                service: "peer-link",
                detail: `cannot listen on ${host}:${port}: ${error.message}`,
            })));
        server.listen(port, host, () => resume(Effect.succeed((server.address() as AddressInfo).port)));
    });
}

/** Opens the link of this process: accepts connections of peers and maintains a connection to each peer that is set. */
export const openWebSocketLink = Effect.fnUntraced(function*(options: WebSocketLinkOptions, logger: Logger) {
    const { self } = options;
    const scope = yield* Effect.scope;
    const runFork = Effect.runForkWith(yield* Effect.context<never>());
    const sockets = new Map<PeerId, LinkSocket>();
    const connectors = yield* FiberMap.make<PeerId>();
    const addresses = new Map<PeerId, string>();
    const hub = yield* createChannelHub(self, (peer, frame) => {
        const socket = sockets.get(peer);
        return socket !== undefined && sendFrame(socket, frame, logger);
    }, logger);

    const serveSocket = Effect.fnUntraced(function*(socket: WebSocket, tcpSocket: Socket) {
        const linkSocket = createLinkSocket(socket, tcpSocket);
        const events = yield* openEvents(socket, logger);
        yield* Effect.addFinalizer(() => Effect.sync(() => socket.terminate()));
        const first = yield* awaitFirstEvent(socket, events);
        if (
            first.kind !== "frame" || first.frame.kind !== "hello" || first.frame.to !== self
            || first.frame.version !== peerProtocolVersion
        ) {
            logger.warn(
                "link refused: the protocol version or the addressed peer id differs; check peer ids and versions",
                { self },
            );
            return;
        }
        const peer = first.frame.from;
        sendFrame(linkSocket, { kind: "welcome", version: peerProtocolVersion, from: self }, logger);
        yield* Effect.forkScoped(watchSocket(socket));
        const frames = yield* Queue.unbounded<Frame>();
        yield* Effect.forkScoped(hub.serveConnection(peer, frames, frame => sendFrame(linkSocket, frame, logger)));
        yield* passFramesUntilClosed(events, frame => Queue.offerUnsafe(frames, frame));
    });

    const attemptConnection = Effect.fnUntraced(function*(peer: PeerId, address: string) {
        const socket = new WebSocket(`ws://${address}`, {
            maxPayload: frameLimitBytes,
            handshakeTimeout: openLimitMs,
            perMessageDeflate: false,
            generateMask: fillZeroMask,
        });
        const events = yield* openEvents(socket, logger);
        yield* Effect.addFinalizer(() =>
            Effect.sync(() => {
                sockets.delete(peer);
                socket.terminate();
                hub.failCalls(peer);
            })
        );
        const linkSocket = createLinkSocket(socket, undefined);
        socket.on("upgrade", response => {
            linkSocket.tcpSocket = response.socket;
        });
        socket.on("open", () => {
            sendFrame(linkSocket, { kind: "hello", version: peerProtocolVersion, from: self, to: peer }, logger);
        });
        const first = yield* awaitFirstEvent(socket, events);
        if (first.kind !== "frame" || first.frame.kind !== "welcome" || first.frame.from !== peer) {
            return;
        }
        sockets.set(peer, linkSocket);
        logger.debug("link open", { peer });
        yield* Effect.forkScoped(watchSocket(socket));
        yield* passFramesUntilClosed(events, frame => hub.handleReplyFrame(peer, frame));
        logger.info("link closed", { peer });
    });

    const keepConnected = (peer: PeerId, address: string) =>
        keepRunning(
            Effect.forever(
                Effect.andThen(Effect.scoped(attemptConnection(peer, address)), Effect.sleep(reconnectPauseMs)),
            ),
            detail => logger.error("loop failed; it is started again", { loop: "connection", peer, detail }),
        );

    const server = createServer((request, response) => {
        response.writeHead(426).end();
    });
    const webSocketServer = new WebSocketServer({ server, maxPayload: frameLimitBytes, perMessageDeflate: false });
    // The WebSocket server emits the errors of the HTTP server again. `listen` reports them; without this handler they
    // would end the process.
    webSocketServer.on("error", error => logger.debug("link server error", { detail: error.message }));
    webSocketServer.on("connection", (socket, request) => {
        runFork(Effect.forkIn(Effect.scoped(serveSocket(socket, request.socket)), scope));
    });
    const port = yield* listen(server, options.listenHost, options.listenPort);
    yield* Effect.addFinalizer(() =>
        Effect.sync(() => {
            for (const socket of webSocketServer.clients) {
                socket.terminate();
            }
            webSocketServer.close();
            server.close();
        })
    );

    const link: PeerLink = {
        self,
        address: `${options.listenHost}:${port}`,
        openChannel: hub.openChannel,
        setPeer: (peer, address) => {
            if (peer === self || addresses.get(peer) === address) {
                return;
            }
            addresses.set(peer, address);
            runFork(FiberMap.run(connectors, peer, keepConnected(peer, address)));
        },
        removePeer: peer => {
            addresses.delete(peer);
            runFork(FiberMap.remove(connectors, peer));
        },
        isConnected: peer => peer === self || sockets.has(peer),
    };
    return link;
});
