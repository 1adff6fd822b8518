import { makeJob, makeStep } from "@chestnutspool/job-state/fakes";
import type { JobReply } from "@chestnutspool/types";
import { Effect } from "effect";
import assert from "node:assert/strict";
import { lateOrderMs, listOverlaps, makeWorker, testLeaseMs, type TestSystem, testSystem } from "./fakes/index.js";

const readPhase = (system: TestSystem, job: string): Effect.Effect<JobReply> =>
    system.ask({ kind: "readJob", job, hostName: "jobs.example", path: `/main/${job}` });
const cancel = (system: TestSystem, job: string): Effect.Effect<JobReply> =>
    system.ask({ kind: "cancelJob", job, hostName: "jobs.example", path: `/main/${job}` });

testSystem("a job of two steps runs once from submission to completion", system =>
    Effect.gen(function*() {
        yield* system.addWorker(makeWorker("w1"));
        yield* system.pass(100);
        const reply = yield* system.submit(makeJob("a", [makeStep({ count: 2 }), makeStep({ dependsOn: [0] })]));
        assert.deepEqual(reply, { kind: "accepted" });
        yield* system.pass(500);
        assert.deepEqual(yield* readPhase(system, "a"), { kind: "phase", phase: "running" });
        yield* system.pass(3_000);
        assert.deepEqual(yield* readPhase(system, "a"), { kind: "phase", phase: "completed" });
        assert.equal((yield* system.readStartedRuns).length, 3);
    }));

testSystem(
    "the task of a silent worker starts elsewhere only after the lease there has expired",
    system =>
        Effect.gen(function*() {
            system.workers.setBehaviour(() => ({ runMs: 30_000, outcome: "succeeded" }));
            yield* system.addWorker(makeWorker("w1"), 0.98);
            yield* system.pass(100);
            yield* system.submit(makeJob("a"));
            yield* system.pass(500);
            yield* system.addWorker(makeWorker("w2"));
            system.workers.setFault("w1", "cut");
            yield* system.pass(testLeaseMs + 4_000);
            const runs = yield* system.readStartedRuns;
            assert.deepEqual(runs.map(run => run.worker), ["w1", "w2"]);
            assert.deepEqual(listOverlaps(runs), []);
        }),
);

testSystem(
    "the lease of a worker whose answers are lost is not extended, so that its tasks can start elsewhere",
    system =>
        Effect.gen(function*() {
            system.workers.setBehaviour(() => ({ runMs: 60_000, outcome: "succeeded" }));
            yield* system.addWorker(makeWorker("w1"));
            yield* system.pass(100);
            yield* system.submit(makeJob("a"));
            yield* system.pass(500);
            yield* system.addWorker(makeWorker("w2"));
            system.workers.setFault("w1", "answersLost");
            yield* system.pass(testLeaseMs + 5_000);
            const runs = yield* system.readStartedRuns;
            assert.deepEqual(runs.map(run => run.worker), ["w1", "w2"]);
            assert.deepEqual(listOverlaps(runs), []);
        }),
);

testSystem(
    "a start that arrives late, after its job was cancelled, is refused or its run is stopped",
    system =>
        Effect.gen(function*() {
            system.workers.setBehaviour(() => ({ runMs: 60_000, outcome: "succeeded" }));
            yield* system.addWorker(makeWorker("w1"));
            yield* system.pass(100);
            system.workers.setFault("w1", "late");
            yield* system.submit(makeJob("a"));
            yield* system.pass(50);
            system.workers.setFault("w1", "none");
            assert.deepEqual(yield* cancel(system, "a"), { kind: "done" });
            yield* system.pass(lateOrderMs + 3_000);
            const runs = yield* system.readStartedRuns;
            assert.ok(runs.every(run => run.endedAtMs !== undefined), "a run of a cancelled job has not ended");
        }),
);

testSystem(
    "a run whose start is carried out late does not overlap with the run that replaced it",
    system =>
        Effect.gen(function*() {
            system.workers.setBehaviour(() => ({ runMs: 20_000, outcome: "succeeded" }));
            yield* system.addWorker(makeWorker("w1"));
            yield* system.pass(100);
            system.workers.setFault("w1", "startsLate");
            yield* system.submit(makeJob("a"));
            yield* system.pass(100);
            system.workers.setFault("w1", "none");
            // The second worker is the fuller one, which the planner prefers.
            yield* system.addWorker(makeWorker("w2", { labels: ["b", "r0"] }));
            yield* system.pass(100);
            const resources = { milliCpu: 2_000, memoryMib: 10, accelerators: 0 };
            yield* system.submit(makeJob("b", [makeStep({ requiredLabel: "b", resources })]));
            yield* system.pass(lateOrderMs + 3_000);
            const runs = yield* system.readStartedRuns;
            assert.deepEqual(listOverlaps(runs), []);
            assert.ok(runs.some(run => run.endedAtMs === undefined), "the task does not run");
        }),
);

testSystem("a job whose start got no answer completes without overlapping runs", system =>
    Effect.gen(function*() {
        yield* system.addWorker(makeWorker("w1"));
        yield* system.pass(100);
        system.workers.setFault("w1", "answersLost");
        yield* system.submit(makeJob("a"));
        yield* system.pass(200);
        system.workers.setFault("w1", "none");
        yield* system.pass(5_000);
        assert.deepEqual(yield* readPhase(system, "a"), { kind: "phase", phase: "completed" });
        assert.deepEqual(listOverlaps(yield* system.readStartedRuns), []);
    }));

testSystem(
    "the next leader keeps the runs in progress, and repeats starts that never took effect",
    system =>
        Effect.gen(function*() {
            system.workers.setBehaviour(() => ({ runMs: 5_000, outcome: "succeeded" }));
            yield* system.addWorker(makeWorker("w1"));
            yield* system.addWorker(makeWorker("w2"));
            yield* system.pass(100);
            yield* system.submit(makeJob("a"));
            yield* system.pass(300);
            // The order for the second job is lost, and the leader is replaced.
            ["w1", "w2"].forEach(worker => system.workers.setFault(worker, "cut"));
            yield* system.submit(makeJob("b"));
            yield* system.pass(30);
            system.log.setLeader("b");
            ["w1", "w2"].forEach(worker => system.workers.setFault(worker, "none"));
            yield* system.pass(10_000);
            for (const job of ["a", "b"]) {
                assert.deepEqual(yield* readPhase(system, job), { kind: "phase", phase: "completed" });
            }
            assert.deepEqual((yield* system.readStartedRuns).map(run => run.task).sort(), ["a.0.0.0", "b.0.0.0"]);
        }),
);

testSystem(
    "no run starts on a worker after its draining was acknowledged, not even under the next leader",
    system =>
        Effect.gen(function*() {
            const worker = makeWorker("w1");
            yield* system.addWorker(worker);
            yield* system.pass(100);
            assert.deepEqual(yield* system.heartbeat(worker, true), { kind: "done" });
            yield* system.submit(makeJob("a"));
            system.log.setLeader("b");
            yield* system.pass(2_000);
            assert.deepEqual(yield* system.readStartedRuns, []);
        }),
);

testSystem("a job that no worker can ever run is refused at once", system =>
    Effect.gen(function*() {
        yield* system.addWorker(makeWorker("w1"));
        yield* system.pass(100);
        const oversized = makeStep({ resources: { milliCpu: 99_000, memoryMib: 1, accelerators: 0 } });
        assert.deepEqual(yield* system.submit(makeJob("a", [oversized])), {
            kind: "rejected",
            reason: "impossible",
            retryAfterMs: undefined,
        });
        assert.deepEqual(yield* readPhase(system, "a"), { kind: "noJob" });
        const invalid = yield* system.submit(makeJob("b", [makeStep({ dependsOn: [0] })]));
        assert.equal(invalid.kind, "invalid");
    }));

testSystem("a worker that left is removed and its task starts elsewhere", system =>
    Effect.gen(function*() {
        system.workers.setBehaviour(() => ({ runMs: 20_000, outcome: "succeeded" }));
        yield* system.addWorker(makeWorker("w1"));
        yield* system.pass(100);
        yield* system.submit(makeJob("a"));
        yield* system.pass(300);
        yield* system.addWorker(makeWorker("w2"));
        assert.deepEqual(yield* system.ask({ kind: "removeWorker", worker: "w1" }), { kind: "done" });
        system.workers.removeWorker("w1", 0);
        yield* system.pass(4_000);
        assert.equal(system.machine.state.workers.has("w1"), false);
        const runs = yield* system.readStartedRuns;
        assert.deepEqual(runs.map(run => run.worker), ["w1", "w2"]);
    }));

testSystem("jobs that have not started are counted for their queue", system =>
    Effect.gen(function*() {
        yield* system.submit(makeJob("a"));
        yield* system.submit(makeJob("b"));
        const count = (path: string) => system.ask({ kind: "countPending", hostName: "jobs.example", path });
        assert.deepEqual(yield* count("/main/"), { kind: "pending", count: 2 });
        assert.deepEqual(yield* count("/none/"), { kind: "noQueue" });
        yield* system.addWorker(makeWorker("w1"));
        yield* system.pass(500);
        assert.deepEqual(yield* count("/main/"), { kind: "pending", count: 0 });
    }));

testSystem(
    "the configuration with the highest version is in force, and a repeated one is acknowledged",
    system =>
        Effect.gen(function*() {
            const current = system.machine.state.configuration;
            assert.ok(current !== undefined);
            const send = (version: number, changes: Partial<typeof current> = {}) =>
                system.ask({ kind: "setConfiguration", configuration: { ...current, ...changes, version } });
            assert.deepEqual(yield* send(5), { kind: "configuration", version: 5, document: undefined });
            assert.deepEqual(yield* send(3), { kind: "configuration", version: 5, document: undefined });
            assert.deepEqual(yield* send(5), { kind: "configuration", version: 5, document: undefined });
            assert.equal((yield* send(9, { pools: [] })).kind, "invalid");
            assert.equal(system.machine.state.configuration?.version, 5);
        }),
);

testSystem(
    "a worker that fails all its runs gets few tasks, and no job fails because of it",
    system =>
        Effect.gen(function*() {
            system.workers.setBehaviour((run, worker) => ({
                runMs: worker === "w1" ? 20 : 1_000,
                outcome: worker === "w1" ? "failed" : "succeeded",
            }));
            for (const id of ["w1", "w2", "w3", "w4"]) {
                yield* system.addWorker(makeWorker(id));
            }
            yield* system.pass(100);
            const jobs = [...Array(100).keys()].map(number => `j${number}`);
            for (const job of jobs) {
                yield* system.submit(makeJob(job));
                yield* system.pass(100);
            }
            yield* system.pass(3_000);
            for (const job of jobs) {
                assert.deepEqual(yield* readPhase(system, job), { kind: "phase", phase: "completed" });
            }
            // Three starts until it is suspected, and one after each pause of 1, 2 and 4 s in 12 s. Four may run at a
            // time.
            const failed = (yield* system.readStartedRuns).filter(run => run.worker === "w1").length;
            assert.ok(failed <= 3 + 3 + 4, `${failed} runs on w1`);
        }),
);

testSystem(
    "a stalled task restarts elsewhere, and its worker then gets one task at a time",
    system =>
        Effect.gen(function*() {
            system.workers.setBehaviour((run, worker) => ({
                runMs: worker === "w1" ? Number.POSITIVE_INFINITY : 1_000,
                outcome: "succeeded",
            }));
            for (const id of ["w1", "w2", "w3", "w4"]) {
                yield* system.addWorker(makeWorker(id));
            }
            yield* system.pass(100);
            const jobs = [...Array(30).keys()].map(number => `j${number}`);
            for (const job of jobs) {
                yield* system.submit(makeJob(job));
                yield* system.pass(300);
            }
            yield* system.pass(8_000);
            for (const job of jobs) {
                assert.deepEqual(yield* readPhase(system, job), { kind: "phase", phase: "completed" });
            }
            const runs = yield* system.readStartedRuns;
            assert.deepEqual(listOverlaps(runs), []);
            // Four until the first is found to have stalled, and one after each pause.
            const stalledRuns = runs.filter(run => run.worker === "w1").length;
            assert.ok(stalledRuns <= 4 + 4, `${stalledRuns} runs on w1`);
        }),
);

testSystem(
    "a task whose start got no answer and was never carried out starts again within seconds",
    system =>
        Effect.gen(function*() {
            system.workers.setBehaviour(() => ({ runMs: 60_000, outcome: "succeeded" }));
            yield* system.addWorker(makeWorker("w1"));
            yield* system.pass(100);
            system.workers.setFault("w1", "startsLost");
            yield* system.submit(makeJob("a"));
            yield* system.pass(500);
            system.workers.setFault("w1", "none");
            yield* system.pass(5_000);
            const runs = yield* system.readStartedRuns;
            assert.deepEqual(runs.map(({ run, endedAtMs }) => [run, endedAtMs]), [[2, undefined]]);
        }),
);

// Guards against a new leader that handles the reports of all workers at once and is deposed because of it.
testSystem("a new leader opens the sessions of its workers in groups", system =>
    Effect.gen(function*() {
        const workers = [...Array(200).keys()].map(number => makeWorker(`w${number}`));
        for (const worker of workers) {
            yield* system.addWorker(worker);
        }
        yield* system.pass(500);
        system.log.setLeader("b");
        const term = 2;
        let before = 0;
        for (let passedMs = 0; passedMs < 2_000 && before < workers.length; passedMs += 10) {
            yield* system.pass(10);
            const contacted = system.workers.countWorkersWithToken(term);
            assert.ok(contacted - before <= 32, `${contacted - before} sessions opened within 10 ms`);
            before = contacted;
        }
        assert.equal(before, workers.length);
    }));

/** Submits a job of four tasks of one second every 100 ms, about ten times what one worker with four cores can run. */
const overload = Effect.fnUntraced(function*(system: TestSystem, milliseconds: number) {
    const replies = new Map<string, JobReply>();
    for (let passedMs = 0; passedMs < milliseconds; passedMs += 100) {
        const id = `job${passedMs}`;
        replies.set(id, yield* system.submit(makeJob(id, [makeStep({ count: 4 })])));
        yield* system.pass(80);
    }
    return replies;
});

// Guards against accepting jobs that would end when their result has no value any more, and against refusals that are not true.
testSystem(
    "under a lasting overload jobs are refused with a time to come back, and refused jobs never run",
    system =>
        Effect.gen(function*() {
            yield* system.addWorker(makeWorker("w1"));
            yield* system.pass(100);
            const replies = yield* overload(system, 12_000);
            const refused = [...replies].filter(([, reply]) => reply.kind === "rejected").map(([id]) => id);
            assert.ok(refused.length > 20, `${refused.length} of ${replies.size} refused`);
            for (const [id, reply] of replies) {
                assert.ok(
                    reply.kind === "accepted" || (reply.kind === "rejected" && reply.reason === "overloaded"),
                    id,
                );
                assert.ok(reply.kind !== "rejected" || (reply.retryAfterMs ?? 0) >= 1_000, id);
            }
            // Nothing is refused at the start, when little is known about the pool.
            assert.ok(refused.every(id => Number(id.slice(3)) >= 3_000), refused[0]);
            const first = makeJob("job0", [makeStep({ count: 4 })]);
            assert.deepEqual(yield* system.submit(first), { kind: "accepted" });
            const lasting = makeJob("lasting", [makeStep({ longRunning: true, expectedRunMs: 0 })]);
            assert.deepEqual(yield* system.submit(lasting), { kind: "accepted" });
            const wallMs = 60_000;
            assert.deepEqual(yield* system.submit({ ...makeJob("timed"), firstAtMs: wallMs }), { kind: "accepted" });
            yield* system.pass(30_000);
            const runs = yield* system.readStartedRuns;
            assert.ok(runs.every(run => !refused.includes(run.task.slice(0, run.task.indexOf(".")))));
        }),
);

// Guards against refusals on a normal day, when work waits because no worker suits it.
testSystem("nothing is refused while tasks wait although the pool has room", system =>
    Effect.gen(function*() {
        yield* system.addWorker(
            makeWorker("w1", { capacity: { milliCpu: 64_000, memoryMib: 9_000, accelerators: 0 } }),
        );
        yield* system.addWorker(
            makeWorker("w2", { labels: ["b"], capacity: { milliCpu: 1_000, memoryMib: 100, accelerators: 0 } }),
        );
        yield* system.pass(100);
        const waiting = makeStep({ count: 60, requiredLabel: "b", expectedRunMs: 10_000 });
        assert.deepEqual(yield* system.submit(makeJob("narrow", [waiting])), { kind: "accepted" });
        yield* system.pass(8_000);
        for (const id of ["a", "b", "c"]) {
            assert.deepEqual(yield* system.submit(makeJob(id)), { kind: "accepted" });
        }
    }));
