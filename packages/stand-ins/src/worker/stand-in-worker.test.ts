import { Effect } from "effect";
import assert from "node:assert/strict";
import { test } from "node:test";
import { openFakeControl } from "./fakes/fake-control.js";
import { startStandInWorker, type WorkerApi } from "./stand-in-worker.js";

const options = {
    worker: "w",
    availabilityZone: "a",
    rack: "r",
    capacity: { milliCpu: 1000, memoryMib: 1000, accelerators: 0 },
    usageLagMs: 0,
    tickMs: 5,
    retryMs: 5,
};

const start = (token: bigint) => ({
    task: "watch/0",
    token,
    action: { case: "start" as const, value: { checkpointIntervalMs: 10 } },
});

const awaitTrue = (condition: () => boolean) =>
    Effect.gen(function*() {
        while (!condition()) {
            yield* Effect.sleep(5);
        }
    });

function hasEnded(worker: WorkerApi, end: string): boolean {
    return worker.listEvents().some(event => event.kind === "ended" && event.end === end);
}

void test("a worker reaches control through the second address when the first refuses connections", async () => {
    await Effect.runPromise(Effect.scoped(Effect.gen(function*() {
        const closedControl = yield* openFakeControl(async () => ({}));
        closedControl.close();
        const control = yield* openFakeControl(async () => ({ leaseMs: 60_000, directives: [start(1n)] }));
        const worker = yield* startStandInWorker({ ...options, addresses: [closedControl.address, control.address] });
        yield* awaitTrue(() => worker.countRunning() === 1);
        yield* Effect.sleep(20);
        assert.equal(worker.listEvents().filter(event => event.kind === "started").length, 1);
    })));
});

void test("a worker that is partitioned, or was frozen beyond its lease, stops its tasks and starts none late", async () => {
    await Effect.runPromise(Effect.scoped(Effect.gen(function*() {
        let token = 1n;
        const seen = new Set<string>();
        const control = yield* openFakeControl(async request => {
            seen.add(request.incarnation);
            return { leaseMs: 200, directives: [start(token)] };
        });
        const worker = yield* startStandInWorker({ ...options, addresses: [control.address] });
        yield* awaitTrue(() => worker.countRunning() === 1);
        worker.setPartitioned(true);
        yield* awaitTrue(() => hasEnded(worker, "leaseEnded"));
        assert.equal(worker.countRunning(), 0);
        token = 2n;
        worker.setPartitioned(false);
        yield* awaitTrue(() => worker.countRunning() === 1);
        yield* worker.setFrozen(true);
        yield* Effect.sleep(250);
        yield* worker.setFrozen(false);
        const kinds = worker.listEvents().filter(event => event.token === 2n && event.kind !== "checkpointed");
        assert.deepEqual(kinds.map(event => event.kind), ["started", "paused", "ended"]);
        const incarnation = worker.readIncarnation();
        token = 3n;
        yield* awaitTrue(() => worker.listEvents().some(event => event.kind === "checkpointed" && event.token === 3n));
        token = 4n;
        yield* worker.restart;
        yield* awaitTrue(() => worker.countRunning() === 1);
        assert.notEqual(worker.readIncarnation(), incarnation);
        assert.equal(seen.size, 2);
    })));
});

void test("a worker that fails every start reports each failure", async () => {
    await Effect.runPromise(Effect.scoped(Effect.gen(function*() {
        const ended = new Set<bigint>();
        const control = yield* openFakeControl(async request => {
            request.ended.forEach(({ token }) => ended.add(token));
            return { leaseMs: 60_000, directives: [start(1n), start(2n)], acknowledged: [] };
        });
        const worker = yield* startStandInWorker({ ...options, addresses: [control.address] });
        worker.setFailing(true);
        yield* awaitTrue(() => ended.size === 2);
        assert.equal(worker.countRunning(), 0);
    })));
});
