import { silentLogger } from "@chestnutspool/logger";
import { createMetrics } from "@chestnutspool/record-metrics";
import type { RelayedCall, WorkerCallMessage } from "@chestnutspool/types";
import { Effect } from "effect";
import fc from "fast-check";
import assert from "node:assert/strict";
import { test } from "node:test";
import { createRelayPool } from "./relay-pool.js";
import { serveWorkerCalls } from "./serve-worker-calls.js";
import { restorePayload, takePayloads } from "./share-payloads.js";

const seed = 20_261_204;
const worker = { id: "w", address: "10.0.0.1:80", availabilityZone: "z" };

function makeStart(id: number, payload: string): RelayedCall {
    const order = {
        job: "j",
        occurrence: 0,
        step: 0,
        position: id,
        run: 1,
        payload,
        checkpoint: "",
        leaseUntilMs: 1,
        fencingToken: 1,
        ticket: undefined,
    };
    return { id, worker: { id: "w", address: worker.address }, limitMs: 1_000, call: { kind: "startRun", order } };
}

function makeStop(id: number): RelayedCall {
    const run = { job: "j", occurrence: 0, step: 0, position: id, run: 1 };
    return {
        id,
        worker: { id: "w", address: worker.address },
        limitMs: 1_000,
        call: { kind: "stopRun", run, fencingToken: 1 },
    };
}

const callLists = fc.array(fc.oneof(fc.constantFrom("", "a", "b"), fc.string(), fc.constant(undefined))).map(payloads =>
    payloads.map((payload, id) => payload === undefined ? makeStop(id) : makeStart(id, payload))
);

// Guards against a task that is started with another payload than its job has.
test("orders have their own payloads after these were shared in a message", () => {
    fc.assert(
        fc.property(callLists, calls => {
            const shared = takePayloads(calls);
            assert.equal(new Set(shared.payloads).size, shared.payloads.length);
            const restored = shared.calls.map(call => restorePayload(call, shared.payloads)?.call);
            assert.deepEqual(restored, calls.map(({ call }) => call));
        }),
        { seed, numRuns: 300 },
    );
});

/** Has a pool send two starts with the same payload to a relay that answered its probe. */
function sendStarts(relaySharesPayloads: boolean): Extract<WorkerCallMessage, { kind: "calls"; }> {
    const sent: WorkerCallMessage[] = [];
    const flushes: (() => void)[] = [];
    const pool = createRelayPool({
        incarnation: "run-1",
        sendMessage: (to, message) => to === "r" && sent.push(message) > 0,
        isConnected: () => true,
        readNowMs: () => 0,
        scheduleFlush: flush => flushes.push(flush),
        logger: silentLogger,
        metrics: createMetrics(),
    });
    pool.advance([{ id: "r", address: "r:1" }], 0);
    pool.handleAnswers("r", {
        kind: "answers",
        incarnation: "run-1",
        availabilityZone: "z",
        answers: [],
        ...(relaySharesPayloads ? { sharesPayloads: true } : {}),
    });
    for (const id of [0, 1]) {
        pool.startCall("r", worker, makeStart(id, "payload").call, { limitMs: 1_000, patienceMs: 0 }, () => undefined);
    }
    flushes.forEach(flush => flush());
    const message = sent.at(-1);
    assert.ok(message?.kind === "calls");
    return message;
}

// Guards against orders without a payload to a relay of an earlier build, which starts them as they are.
test("payloads are shared only with relays that read them", () => {
    const readPayloads = ({ calls }: { readonly calls: readonly RelayedCall[]; }): string[] =>
        calls.flatMap(({ call }) => call.kind === "startRun" ? [call.order.payload] : []);
    const own = sendStarts(false);
    assert.deepEqual([readPayloads(own), own.payloads], [["payload", "payload"], undefined]);
    const shared = sendStarts(true);
    assert.deepEqual([readPayloads(shared), shared.payloads], [["", ""], ["payload"]]);
});

// Guards against starting a task with an empty payload when the message is not whole.
test("an order whose payload is missing is not carried out and is answered as not sent", async () => {
    const answers: WorkerCallMessage[] = [];
    let starts = 0;
    const unused = (): never => assert.fail("no other call is expected");
    await Effect.runPromise(Effect.scoped(Effect.gen(function*() {
        const relay = yield* serveWorkerCalls({
            workers: {
                startRun: () =>
                    Effect.sync(() => {
                        starts += 1;
                        return { kind: "done", clockMs: 1 };
                    }),
                stopRun: unused,
                paceRun: unused,
                renewLease: unused,
                closeConnections: unused,
            },
            availabilityZone: "z",
            sendMessage: (to, message) => to === "leader" && answers.push(message) > 0,
            scheduleFlush: flush => flush(),
            logger: silentLogger,
        });
        const { calls } = takePayloads([makeStart(0, "payload")]);
        yield* relay.handleCalls(
            "leader",
            { kind: "calls", incarnation: "run-1", sentAtMs: 0, calls, payloads: [] },
            0,
        );
    })));
    assert.equal(starts, 0);
    assert.deepEqual(
        answers.flatMap(message => message.kind === "answers" ? message.answers.map(({ answer }) => answer.kind) : []),
        ["notSent"],
    );
});
