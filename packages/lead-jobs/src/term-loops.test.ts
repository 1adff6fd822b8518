import { makeJob, makeStep } from "@chestnutspool/job-state/fakes";
import { createMetrics } from "@chestnutspool/record-metrics";
import type { WorkerInfo } from "@chestnutspool/types";
import { Effect } from "effect";
import assert from "node:assert/strict";
import {
    createRecordingLogger,
    failWhile,
    type FakeWorkers,
    makeWorker,
    startTestSystemWith,
    testLeaseMs,
    type TestSystem,
    testWithClock,
} from "./fakes/index.js";

const readPhase = (system: TestSystem, job: string) =>
    system.ask({ kind: "readJob", job, hostName: "jobs.example", path: `/main/${job}` });

/** Lets the renewals of some workers end with an exception. */
function failRenewals(
    port: FakeWorkers["port"],
    isFailing: (worker: Pick<WorkerInfo, "id">) => boolean,
): FakeWorkers["port"] {
    return {
        ...port,
        renewLease: (worker, order, limitMs) =>
            Effect.suspend(() =>
                isFailing(worker) ? Effect.die(new Error("malformed report")) : port.renewLease(worker, order, limitMs)
            ),
    };
}

// Guards against a leader that accepts jobs and starts nothing for the rest of its term after one exception in the planner,
// and against a run that is recorded but never ordered because the exception came in between.
testWithClock(
    "jobs are started after an exception in a pass of the planner",
    Effect.gen(function*() {
        const { logger, lines, failOnceAt } = createRecordingLogger();
        const metrics = createMetrics();
        const system = yield* startTestSystemWith(port => port, { logger, metrics });
        yield* system.addWorker(makeWorker("w1"));
        yield* system.pass(200);
        failOnceAt("runs are ordered");
        assert.deepEqual(yield* system.submit(makeJob("a")), { kind: "accepted" });
        yield* system.pass(500);
        assert.deepEqual(yield* system.submit(makeJob("b")), { kind: "accepted" });
        yield* system.pass(6_000);
        assert.deepEqual(yield* readPhase(system, "b"), { kind: "phase", phase: "completed" });
        assert.deepEqual(yield* readPhase(system, "a"), { kind: "phase", phase: "completed" });
        const [failure, ...others] = lines.filter(line => line.message === "loop failed; it is started again");
        assert.ok(failure !== undefined && others.length === 0);
        assert.equal(failure.level, "error");
        assert.equal(failure.fields["loop"], "planner");
        assert.equal(failure.fields["term"], 1);
        assert.match(String(failure.fields["detail"]), /^Error: no line "runs are ordered"/);
        const counter = metrics.readCounters().find(({ name }) => name === "loops.failed");
        assert.equal(counter?.class, "planner");
        assert.equal(counter.value, 1);
    }),
);

// Guards against loops of a term that end without a line at an exception, while the leader keeps its leadership.
testWithClock(
    "all loops of a term go on after exceptions",
    Effect.gen(function*() {
        const fault = { isFailing: false };
        const { logger, lines } = createRecordingLogger();
        const system = yield* startTestSystemWith(port => port, {
            logger,
            wrapLog: log => ({
                ...log,
                isLeading: failWhile(fault, log.isLeading),
            }),
        });
        system.workers.setBehaviour(({ job }) => ({ runMs: job === "lasting" ? 60_000 : 500, outcome: "succeeded" }));
        yield* system.addWorker(makeWorker("w1"));
        yield* system.pass(200);
        yield* system.submit(makeJob("lasting", [makeStep({ longRunning: true })]));
        yield* system.pass(500);
        fault.isFailing = true;
        yield* system.pass(2_000);
        fault.isFailing = false;
        yield* system.pass(1_000);
        const earlierLines = lines.length;
        assert.deepEqual(yield* system.submit(makeJob("a")), { kind: "accepted" });
        yield* system.pass(testLeaseMs);
        assert.deepEqual(yield* readPhase(system, "a"), { kind: "phase", phase: "completed" });
        assert.equal((yield* system.readStartedRuns).length, 2, "the long-running task keeps its run");
        assert.ok(lines.slice(earlierLines).some(line => line.message === "leader load"));
        const failed = new Set(
            lines.filter(line => line.message === "loop failed; it is started again").map(line => line.fields["loop"]),
        );
        assert.deepEqual([...failed].sort(), [
            "begunJobs",
            "disturbances",
            "loadReport",
            "pacing",
            "planner",
            "session",
        ]);
    }),
);

// Guards against a worker that is lost until the next term, with the jobs on it, after one exception in its session.
testWithClock(
    "the runs of a worker are followed after an exception in its session",
    Effect.gen(function*() {
        let isFailing = false;
        const system = yield* startTestSystemWith(port => failRenewals(port, () => isFailing));
        yield* system.addWorker(makeWorker("w1"));
        yield* system.pass(200);
        yield* system.submit(makeJob("a"));
        yield* system.pass(500);
        isFailing = true;
        yield* system.pass(1_000);
        isFailing = false;
        yield* system.pass(2_000);
        assert.deepEqual(yield* readPhase(system, "a"), { kind: "phase", phase: "completed" });
        assert.equal((yield* system.readStartedRuns).length, 1);
    }),
);

// Guards against tasks that stay recorded on a worker for the rest of the term, because each of its reports causes an
// exception.
testWithClock(
    "the tasks of a worker whose session keeps failing start elsewhere after its lease",
    Effect.gen(function*() {
        let isFailing = false;
        const system = yield* startTestSystemWith(port => failRenewals(port, ({ id }) => isFailing && id === "w1"));
        system.workers.setBehaviour(() => ({ runMs: 30_000, outcome: "succeeded" }));
        yield* system.addWorker(makeWorker("w1"));
        yield* system.pass(200);
        yield* system.submit(makeJob("a"));
        yield* system.pass(500);
        yield* system.addWorker(makeWorker("w2"));
        isFailing = true;
        yield* system.pass(testLeaseMs + 4_000);
        assert.deepEqual((yield* system.readStartedRuns).map(run => run.worker), ["w1", "w2"]);
    }),
);

// Guards against workers that a new leader does not call, because an exception ended the opening of the sessions.
testWithClock(
    "a new leader opens all sessions after an exception",
    Effect.gen(function*() {
        const system = yield* startTestSystemWith(port => port);
        yield* system.addWorker(makeWorker("w1"));
        yield* system.pass(200);
        const { workers } = system.machine.state;
        let failures = 0;
        Object.defineProperty(workers, "has", {
            configurable: true,
            value: () => {
                Reflect.deleteProperty(workers, "has");
                failures += 1;
                throw new Error("no worker");
            },
        });
        system.log.setLeader("b");
        yield* system.pass(1_000);
        assert.equal(failures, 1);
        yield* system.submit(makeJob("a"));
        yield* system.pass(3_000);
        assert.deepEqual(yield* readPhase(system, "a"), { kind: "phase", phase: "completed" });
    }),
);
