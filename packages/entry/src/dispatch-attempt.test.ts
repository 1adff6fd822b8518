import { Effect } from "effect";
import assert from "node:assert/strict";
import { createServer, type Server, type Socket } from "node:net";
import { test } from "node:test";
import { type AttemptResult, dispatchAttempt } from "./dispatch-attempt.js";
import { createOwnedMinion, openSlot } from "./owned-minion.js";

const times = { silenceMs: 1_000, maxRunMs: 1_000, leaseMarginMs: 250, clockDriftPercent: 1 };
const envelope = {
    tenant: "moreno",
    service: "plume",
    class: "urgent" as const,
    requestId: "a",
    callerSuppliedId: true,
    idempotent: true,
    deadlineLeftMs: 1_000,
    body: Buffer.from("body"),
};

interface Dispatched {
    readonly result: AttemptResult;
    readonly slotState: string;
    readonly receivedBytes: number;
}

function listen(server: Server): Promise<number> {
    return new Promise(resolve => {
        server.listen(0, "127.0.0.1", () => resolve((server.address() as { readonly port: number; }).port));
    });
}

/** Dispatches one attempt to a TCP server; `onData` reacts to the bytes of each connection. */
async function dispatch(
    onData: (socket: Socket) => void,
    canConnect = true,
    findRefusal: () => "draining" | undefined = () => undefined,
): Promise<Dispatched> {
    let receivedBytes = 0;
    const server = createServer(socket => {
        socket.on("error", () => undefined);
        socket.on("data", data => {
            receivedBytes += data.length;
            onData(socket);
        });
    });
    const port = await listen(server);
    if (!canConnect) {
        await new Promise(resolve => server.close(resolve));
    }
    const info = {
        id: "minion",
        service: "plume",
        address: `127.0.0.1:${port}`,
        availabilityZone: "zone-a",
        slots: 1,
        connections: 1,
    };
    const start = { attemptsKnownFrom: "atOnce" as const, attempts: [] };
    const minion = createOwnedMinion(info, 1, start, times, 0, () => undefined);
    const ref = { attempt: "1", minion: "minion", shard: 0, tenant: "moreno", requestId: "a", runLeaseLeftMs: 1_000 };
    const slot = openSlot(minion, ref, 0);
    assert.ok(slot !== undefined);
    const options = { envelope, streamLimitBytes: 1_000, readNowMs: () => 0, findRefusal };
    const result = await Effect.runPromise(dispatchAttempt(slot, options, () => Effect.void));
    server.close();
    minion.sharedAgent.destroy();
    return { result, slotState: slot.state, receivedBytes };
}

const answer = (text: string) => (socket: Socket): void => {
    socket.end(text);
};

void test("an attempt is `notSent` exactly when no byte was written or the minion did not start it", async () => {
    const refused = await dispatch(() => undefined, false);
    assert.deepEqual([refused.result.state, refused.slotState], ["notSent", "notSent"]);
    const stopped = await dispatch(() => undefined, true, () => "draining");
    assert.deepEqual([stopped.result.state, stopped.slotState, stopped.receivedBytes], ["notSent", "notSent", 0]);
    const notStarted = await dispatch(
        answer("HTTP/1.1 409 Conflict\r\nchestnutspool-not-started: 1\r\ncontent-length: 0\r\n\r\n"),
    );
    assert.deepEqual([notStarted.result.state, notStarted.slotState], ["notSent", "notSent"]);
});

void test("an attempt whose bytes were written stays `maybeRun` until the whole answer has arrived", async () => {
    const cases = [
        (socket: Socket) => socket.destroy(),
        (socket: Socket) => socket.resetAndDestroy(),
        answer("not HTTP\r\n\r\n"),
        answer("HTTP/1.1 409 Conflict\r\ncontent-length: 4\r\n\r\n"),
        answer("HTTP/1.1 200 OK\r\ncontent-length: 10\r\n\r\nshort"),
        answer("HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n5\r\nshort\r\n"),
        answer("HTTP/1.1 200 OK\r\n\r\nno length"),
        answer("HTTP/1.1 200 OK\r\ncontent-length: 2000\r\n\r\n" + "x".repeat(2_000)),
    ];
    for (const [index, onData] of cases.entries()) {
        const { result, slotState } = await dispatch(onData);
        assert.deepEqual([index, result.state, slotState], [index, "maybeRun", "maybeRun"]);
    }
    const whole = await dispatch(answer("HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\nwhole"));
    assert.deepEqual([whole.result.state, whole.slotState], ["ran", "ran"]);
});
