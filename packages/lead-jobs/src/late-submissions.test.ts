import { makeJob, makeStep } from "@chestnutspool/job-state/fakes";
import type { JobReply } from "@chestnutspool/types";
import { Effect } from "effect";
import assert from "node:assert/strict";
import { makeWorker, type TestSystem, testSystem } from "./fakes/index.js";

const target = { hostName: "jobs.example", path: "/main/a" };
const job = makeJob("a", [makeStep({ count: 2 })]);

const cancel = (system: TestSystem) => system.ask({ kind: "cancelJob", job: "a", ...target });
const read = (system: TestSystem) => system.ask({ kind: "readJob", job: "a", ...target });

const isRejected: JobReply = { kind: "rejected", reason: "cancelled", retryAfterMs: undefined };

const assertNeverRuns = Effect.fnUntraced(function*(system: TestSystem) {
    yield* system.pass(5_000);
    assert.deepEqual(yield* system.readStartedRuns, []);
    assert.deepEqual(yield* read(system), { kind: "noJob" });
});

// Guards against a submission that an entry process held while it was suspended: the client cancelled through another one, was told
// that there is no such job, and the job ran afterwards.
testSystem(
    "a submission that reaches the leader after its cancellation was acknowledged does not run, under the next leader either",
    system =>
        Effect.gen(function*() {
            yield* system.addWorker(makeWorker("w1"));
            assert.deepEqual(yield* cancel(system), { kind: "noJob" });
            assert.deepEqual(yield* system.submit(job), isRejected);
            yield* assertNeverRuns(system);
            system.log.setLeader("b");
            yield* system.pass(1_000);
            assert.deepEqual(yield* system.submit(job), isRejected);
            assert.deepEqual(yield* cancel(system), { kind: "noJob" });
            yield* assertNeverRuns(system);
        }),
);

// Guards against a cancellation that finds no job, because the submission is proposed and not committed yet, and does not stop it.
testSystem(
    "a cancellation beside the submission of its job ends the job or has it refused",
    system =>
        Effect.gen(function*() {
            yield* system.addWorker(makeWorker("w1"));
            const submission = system.submit(job);
            const replies = yield* Effect.all([submission, cancel(system)], { concurrency: "unbounded" });
            assert.deepEqual(replies, [{ kind: "accepted" }, { kind: "done" }]);
            yield* system.pass(5_000);
            assert.deepEqual(yield* read(system), { kind: "phase", phase: "cancelled" });
            const running = (yield* system.readStartedRuns).filter(({ outcome }) => outcome !== "stopped");
            assert.deepEqual(running, []);
            const other = { hostName: "jobs.example", path: "/main/b" };
            const later = yield* Effect.all(
                [system.ask({ kind: "cancelJob", job: "b", ...other }), system.submit(makeJob("b"))],
                { concurrency: "unbounded" },
            );
            assert.deepEqual(later, [{ kind: "noJob" }, isRejected]);
        }),
);

testSystem(
    "a cancellation in a queue that does not exist does not concern a queue that is configured later",
    system =>
        Effect.gen(function*() {
            yield* system.addWorker(makeWorker("w1"));
            const elsewhere = { hostName: "other.example", path: "/main/a" };
            assert.deepEqual(yield* system.ask({ kind: "cancelJob", job: "a", ...elsewhere }), { kind: "noQueue" });
            assert.equal(system.machine.state.cancelledSubmissions.size, 0);
            assert.deepEqual(yield* system.submit(job), { kind: "accepted" });
        }),
);
