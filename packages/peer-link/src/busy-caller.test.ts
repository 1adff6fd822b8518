import { silentLogger } from "@chestnutspool/logger";
import { Effect, Exit } from "effect";
import assert from "node:assert/strict";
import { connect } from "node:net";
import { test } from "node:test";
import { Worker } from "node:worker_threads";
import { createChannelHub } from "./channel-hub.js";

/** A server in a thread of its own, which answers while the thread of the caller is busy. */
const echoServer = `
const { parentPort } = require("node:worker_threads");
const server = require("node:net").createServer(socket => {
    socket.on("error", () => {});
    socket.on("data", data => { socket.write(data); parentPort.postMessage({ answeredAtMs: Date.now() }); });
});
server.listen(0, "127.0.0.1", () => parentPort.postMessage({ port: server.address().port }));
`;

function block(durationMs: number): void {
    const endMs = performance.now() + durationMs;
    while (performance.now() < endMs) {
        // Keeps the thread busy, as a long planning pass or a snapshot does.
    }
}

// Guards against a busy leader that counts the replies of its followers as lost although they wait in its socket buffers, and
// that is deposed by its own delay.
void test("a reply that arrived in time is read before its call expires in a process that was busy", async () => {
    const server = new Worker(echoServer, { eval: true });
    const port = await new Promise<number>(resolve =>
        server.once("message", (message: { readonly port: number; }) => resolve(message.port))
    );
    const socket = connect(port, "127.0.0.1");
    await new Promise<void>(resolve => socket.once("connect", () => resolve()));
    let answeredAtMs = Number.POSITIVE_INFINITY;
    server.on("message", (message: { readonly answeredAtMs: number; }) => {
        ({ answeredAtMs } = message);
    });
    let sentAtMs = 0;
    const exit = await Effect.runPromise(Effect.scoped(Effect.gen(function*() {
        const hub = yield* createChannelHub("self", (peer, frame) => {
            if (frame.kind === "call") {
                sentAtMs = Date.now();
                socket.write(`${frame.id}\n`);
            }
            return true;
        }, silentLogger);
        socket.on("data", data => hub.handleReplyFrame("other", { kind: "reply", id: Number(String(data)), body: 7 }));
        const channel = hub.openChannel<number, number>("log", {});
        // Fibers run in this phase of the event loop.
        setImmediate(() => block(400));
        return yield* Effect.exit(channel.callPeer("other", 1, 300));
    })));
    // The message of the thread arrives after the reply.
    await new Promise<void>(resolve => setTimeout(resolve, 50));
    socket.destroy();
    await server.terminate();
    assert.ok(answeredAtMs - sentAtMs < 100, `the server took ${answeredAtMs - sentAtMs} ms`);
    assert.ok(
        Exit.isSuccess(exit),
        `the call expired although the server answered after ${answeredAtMs - sentAtMs} ms`,
    );
});
