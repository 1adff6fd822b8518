import { makeJob, makeStep } from "@chestnutspool/job-state/fakes";
import {
    type JobCommand,
    type OrderAnswer,
    type OrderRefusal,
    readMonotonicMs,
    type WorkerInfo,
} from "@chestnutspool/types";
import { Effect } from "effect";
import assert from "node:assert/strict";
import { makeWorker, startTestSystemWith, type TestSystem, testWithClock } from "./fakes/index.js";

const rejecting: WorkerInfo = makeWorker("w1", {
    labels: ["b", "r0"],
    capacity: { milliCpu: 16_000, memoryMib: 4_000, accelerators: 0 },
});
/** A proposed command and when it was proposed, in monotonic milliseconds. */
type TimedCommit = JobCommand & { readonly atMs: number; };

const jobs = ["1", "2", "3", "4", "5", "6", "7", "8"];

const countPending = (system: TestSystem) =>
    system.ask({ kind: "countPending", hostName: "jobs.example", path: "/main/" });

const readPhase = (system: TestSystem, job: string) =>
    system.ask({ kind: "readJob", job, hostName: "jobs.example", path: `/main/${job}` });

/** A system whose worker `w1` answers starts with 503, or another refusal, while `isRejecting` returns true. */
const startRejectingSystem = Effect.fnUntraced(function*(
    isRejecting: () => boolean,
    commits: TimedCommit[] = [],
    reason: OrderRefusal = "unhealthy",
) {
    const system = yield* startTestSystemWith(
        port => ({
            ...port,
            startRun: (worker, order, limitMs) =>
                worker.id === rejecting.id && isRejecting()
                    ? Effect.as(
                        Effect.sleep(1),
                        { kind: "refused", reason, clockMs: undefined } satisfies OrderAnswer,
                    )
                    : port.startRun(worker, order, limitMs),
        }),
        {
            wrapLog: log => ({
                ...log,
                proposeCommand: command =>
                    Effect.flatMap(readMonotonicMs, atMs => {
                        commits.push({ ...command, atMs });
                        return log.proposeCommand(command);
                    }),
            }),
        },
    );
    yield* system.addWorker(rejecting);
    yield* system.pass(500);
    return system;
});

/** Submits eight jobs of one task that only `w1` can run. */
const submitJobs = (system: TestSystem) =>
    Effect.forEach(jobs, id => system.submit(makeJob(id, [makeStep({ requiredLabel: "b" })])));

// Guards against jobs that are shown as running, and not counted as pending, while a worker rejects each of their starts.
testWithClock(
    "jobs whose starts are rejected are pending and queued, under a later leader too",
    Effect.gen(function*() {
        let isRejecting = true;
        const system = yield* startRejectingSystem(() => isRejecting);
        yield* submitJobs(system);
        yield* system.pass(5_500);
        assert.deepEqual(yield* countPending(system), { kind: "pending", count: 8 });
        assert.deepEqual(yield* readPhase(system, "1"), { kind: "phase", phase: "queued" });
        system.log.setLeader("b");
        yield* system.pass(3_000);
        assert.deepEqual(yield* countPending(system), { kind: "pending", count: 8 });
        isRejecting = false;
        yield* system.pass(12_000);
        assert.deepEqual(yield* countPending(system), { kind: "pending", count: 0 });
        assert.deepEqual(yield* readPhase(system, "8"), { kind: "phase", phase: "completed" });
    }),
);

// Guards against jobs that are shown as queued again, because a later leader does not know that they have begun.
testWithClock(
    "a job that has begun is running at once, and still under a later leader that no worker has reported to",
    Effect.gen(function*() {
        const system = yield* startRejectingSystem(() => false);
        system.workers.setBehaviour(() => ({ runMs: 30_000, outcome: "succeeded" }));
        yield* system.submit(makeJob("1"));
        yield* system.pass(200);
        assert.deepEqual(yield* readPhase(system, "1"), { kind: "phase", phase: "running" });
        yield* system.pass(500);
        system.workers.setFault("w1", "cut");
        system.log.setLeader("b");
        yield* system.pass(2_000);
        assert.deepEqual(yield* readPhase(system, "1"), { kind: "phase", phase: "running" });
        assert.deepEqual(yield* countPending(system), { kind: "pending", count: 0 });
    }),
);

// Guards against a job that stays queued, because the answer to its start was lost and only reports list its run.
testWithClock(
    "a job whose run is listed by a report has begun",
    Effect.gen(function*() {
        const system = yield* startTestSystemWith(port => ({
            ...port,
            startRun: (worker, order, limitMs) =>
                Effect.as(
                    port.startRun(worker, order, limitMs),
                    { kind: "unknown", detail: "no answer" } satisfies OrderAnswer,
                ),
        }));
        yield* system.addWorker(makeWorker("w1"));
        system.workers.setBehaviour(() => ({ runMs: 30_000, outcome: "succeeded" }));
        yield* system.pass(500);
        yield* system.submit(makeJob("1"));
        yield* system.pass(2_000);
        assert.deepEqual(yield* readPhase(system, "1"), { kind: "phase", phase: "running" });
        assert.deepEqual(yield* countPending(system), { kind: "pending", count: 0 });
    }),
);

/** Largest number of commits in any second. */
function countMostPerSecond(times: readonly number[]): number {
    return Math.max(0, ...times.map(fromMs => times.filter(atMs => atMs >= fromMs && atMs < fromMs + 1_000).length));
}

// Guards against a leader that commits a start, and its end, again as soon as a worker has rejected it: 200 commits a second.
testWithClock(
    "rejected starts cost fewer than 5 commits in each second, and succeed within 3 s once the worker is healthy",
    Effect.gen(function*() {
        let isRejecting = true;
        const commits: TimedCommit[] = [];
        const system = yield* startRejectingSystem(() => isRejecting, commits);
        yield* submitJobs(system);
        yield* system.pass(5_500);
        const times = commits.filter(({ kind }) => kind === "startRuns" || kind === "endRuns").map(({ atMs }) => atMs);
        assert.ok(times.length >= 4, "starts are tried again");
        assert.ok(countMostPerSecond(times) < 5, `${countMostPerSecond(times)} commits in a second`);
        isRejecting = false;
        const healthyAtMs = yield* readMonotonicMs;
        yield* system.pass(5_000);
        const delays = (yield* system.readStartedRuns).map(({ startedAtMs }) => startedAtMs - healthyAtMs);
        assert.equal(delays.length, 8);
        assert.ok(Math.max(...delays) < 3_000, `delays of ${delays.join(", ")} ms`);
        assert.ok(
            Math.max(...delays) - Math.min(...delays) < 300,
            "the first confirmed start ends the delay of the others",
        );
    }),
);

// Guards against starts that go to the worker that rejects them although another one is suitable.
testWithClock(
    "a rejected start is tried on another worker first, without a delay",
    Effect.gen(function*() {
        const commits: TimedCommit[] = [];
        const system = yield* startRejectingSystem(() => true, commits);
        yield* system.addWorker({ ...rejecting, id: "w2" });
        yield* system.pass(500);
        const submittedAtMs = yield* readMonotonicMs;
        yield* submitJobs(system);
        yield* system.pass(400);
        const runs = yield* system.readStartedRuns;
        assert.deepEqual(runs.map(({ worker }) => worker), jobs.map(() => "w2"));
        assert.ok(runs.every(({ startedAtMs }) => startedAtMs - submittedAtMs < 400));
        const rejected = commits.flatMap(commit =>
            commit.kind === "startRuns" ? commit.starts.filter(({ worker }) => worker === "w1") : []
        );
        assert.ok(rejected.length <= 1, `${rejected.length} starts on the worker that rejects them`);
    }),
);

// Guards against members of a gang that never start, because a worker that has rejected a start gets one at a time.
testWithClock(
    "a gang starts on a worker that has rejected it before",
    Effect.gen(function*() {
        let isRejecting = true;
        const system = yield* startRejectingSystem(() => isRejecting);
        yield* system.submit(makeJob("gang", [makeStep({ requiredLabel: "b", gang: true, count: 4 })]));
        yield* system.pass(4_000);
        isRejecting = false;
        yield* system.pass(5_000);
        assert.deepEqual(yield* readPhase(system, "gang"), { kind: "phase", phase: "completed" });
    }),
);

/** Refusals that concern the task and not the worker. */
for (const reason of ["invalid", "ticketInvalid"] as const) {
    // Guards against a leader that commits a start that no worker accepts, and its end, in each pass.
    testWithClock(
        `starts of a step that are refused as ${reason} cost fewer than 5 commits in each second, and delay no other step`,
        Effect.gen(function*() {
            let isRejecting = true;
            const commits: TimedCommit[] = [];
            const system = yield* startRejectingSystem(() => isRejecting, commits, reason);
            const fromMs = yield* readMonotonicMs;
            yield* system.submit(makeJob("1", [makeStep({ requiredLabel: "b", count: 3 })]));
            yield* system.pass(5_500);
            // The first starts of the step are ordered together.
            const times = commits.filter(({ kind, atMs }) =>
                (kind === "startRuns" || kind === "endRuns") && atMs >= fromMs + 100
            ).map(({ atMs }) => atMs);
            assert.ok(times.length >= 4, "starts are tried again");
            assert.ok(countMostPerSecond(times) < 5, `${countMostPerSecond(times)} commits in a second`);
            isRejecting = false;
            yield* system.pass(5_000);
            assert.deepEqual(yield* readPhase(system, "1"), { kind: "phase", phase: "completed" });
        }),
    );
}

// Guards against other jobs that wait because a worker refuses the starts of one step.
testWithClock(
    "a job starts at once on a worker that refuses the starts of another one, which goes to another worker",
    Effect.gen(function*() {
        const system = yield* startTestSystemWith(port => ({
            ...port,
            startRun: (worker, order, limitMs) =>
                worker.id === "w1" && order.job === "refused"
                    ? Effect.succeed({ kind: "refused", reason: "invalid", clockMs: undefined } satisfies OrderAnswer)
                    : port.startRun(worker, order, limitMs),
        }));
        yield* system.addWorker(rejecting);
        yield* system.pass(500);
        yield* system.submit(makeJob("refused", [makeStep({ requiredLabel: "b" })]));
        yield* system.pass(100);
        yield* system.submit(makeJob("other", [makeStep({ requiredLabel: "b" })]));
        yield* system.pass(100);
        assert.deepEqual((yield* system.readStartedRuns).map(({ task }) => task), ["other.0.0.0"]);
        yield* system.addWorker({ ...rejecting, id: "w2" });
        yield* system.pass(3_000);
        assert.deepEqual(yield* readPhase(system, "refused"), { kind: "phase", phase: "completed" });
    }),
);
