import { makeJob, makeQueue } from "@chestnutspool/job-state/fakes";
import type { JobRequest } from "@chestnutspool/types";
import { Effect } from "effect";
import assert from "node:assert/strict";
import { makeWorker, type TestSystem, testSystem } from "./fakes/index.js";

/** Starts a worker and configures the queues under `/main/` and `/other/`. */
const startQueues = Effect.fnUntraced(function*(system: TestSystem) {
    yield* system.addWorker(makeWorker("w1"));
    const configuration = {
        version: 2,
        queues: [makeQueue(), makeQueue({ name: "other", path: "/other/" })],
        pools: [{ name: "pool", healthPath: "/health", guardsCapacity: false, isStandby: false }],
        bodyLimitBytes: 1_000,
        document: new Uint8Array(0),
    };
    assert.deepEqual((yield* system.ask({ kind: "setConfiguration", configuration })).kind, "configuration");
    yield* system.pass(100);
});

function makeRequest(kind: "submitJob" | "readJob" | "cancelJob" | "countPending", path: string): JobRequest {
    const target = { hostName: "jobs.example", path };
    switch (kind) {
        case "submitJob":
            return { kind, spec: makeJob("a"), ...target };
        case "countPending":
            return { kind, ...target };
        case "readJob":
        case "cancelJob":
            return { kind, job: "a", ...target };
    }
}

// Guards against a submission that is acknowledged, after which a read tells that there is no such job.
testSystem(
    "a job whose id another queue has used is refused, and neither read nor cancelled as that job",
    system =>
        Effect.gen(function*() {
            yield* startQueues(system);
            assert.deepEqual(yield* system.ask(makeRequest("submitJob", "/main/a")), { kind: "accepted" });
            const refusal = { kind: "rejected", reason: "otherQueue", retryAfterMs: undefined };
            for (const self of ["a", "b"]) {
                system.log.setLeader(self);
                yield* system.pass(500);
                assert.deepEqual(yield* system.ask(makeRequest("submitJob", "/other/a")), refusal);
                assert.deepEqual(yield* system.ask(makeRequest("readJob", "/other/a")), { kind: "noJob" });
                assert.deepEqual(yield* system.ask(makeRequest("cancelJob", "/other/a")), { kind: "noJob" });
                assert.deepEqual(yield* system.ask(makeRequest("submitJob", "/main/a")), { kind: "accepted" });
            }
            yield* system.pass(3_000);
            assert.deepEqual(yield* system.ask(makeRequest("readJob", "/main/a")), {
                kind: "phase",
                phase: "completed",
            });
            assert.equal((yield* system.readStartedRuns).length, 1);
        }),
);

// Guards against one job under several paths, and against the count of a queue for any path below it.
testSystem(
    "only the prefix itself names a queue, and only the prefix with the id names a job",
    system =>
        Effect.gen(function*() {
            yield* startQueues(system);
            for (const kind of ["submitJob", "readJob", "cancelJob"] as const) {
                assert.deepEqual(yield* system.ask(makeRequest(kind, "/main/more/a")), { kind: "noQueue" }, kind);
            }
            assert.equal(system.machine.state.jobs.size, 0);
            assert.deepEqual(yield* system.ask(makeRequest("countPending", "/main/more")), { kind: "noQueue" });
            assert.deepEqual(yield* system.ask(makeRequest("countPending", "/main/")), { kind: "pending", count: 0 });
        }),
);

// Guards against the cancellation of a job of another queue: a command names only the id, which is free again once an ended
// job is forgotten.
testSystem("a job that has ended is cancelled without a command", system =>
    Effect.gen(function*() {
        yield* startQueues(system);
        yield* system.ask(makeRequest("submitJob", "/main/a"));
        yield* system.pass(3_000);
        const changes = system.machine.countChanges();
        assert.deepEqual(yield* system.ask(makeRequest("cancelJob", "/main/a")), { kind: "done" });
        assert.equal(system.machine.countChanges(), changes);
        assert.deepEqual(yield* system.ask(makeRequest("readJob", "/main/a")), { kind: "phase", phase: "completed" });
    }));

// Guards against a wave that is acknowledged and not stored, because an earlier one with other hosts has its number.
testSystem(
    "a wave with the number of another one is refused, and a repeated one is acknowledged",
    system =>
        Effect.gen(function*() {
            const wave = { wave: 1, hosts: ["a", "b"], durationMs: 1_000, hostsAtOnce: 1 };
            assert.deepEqual(yield* system.ask({ kind: "startWave", wave }), { kind: "done" });
            assert.deepEqual(yield* system.ask({ kind: "startWave", wave }), { kind: "done" });
            for (const changes of [{ hosts: ["c"] }, { hosts: ["a"] }, { durationMs: 2_000 }, { hostsAtOnce: 2 }]) {
                assert.deepEqual(yield* system.ask({ kind: "startWave", wave: { ...wave, ...changes } }), {
                    kind: "invalid",
                    detail: "wave 1 was started with other content",
                });
            }
            assert.deepEqual(system.machine.state.waves.get(1)?.wave, wave);
        }),
);
