import { makeJob } from "@chestnutspool/job-state/fakes";
import { Effect } from "effect";
import assert from "node:assert/strict";
import {
    createRecordingLogger,
    makeWorker,
    startTestSystemWith,
    type TestSystem,
    testWithClock,
} from "./fakes/index.js";

const readPhase = (system: TestSystem, job: string) =>
    system.ask({ kind: "readJob", job, hostName: "jobs.example", path: `/main/${job}` });

/** Lets a worker accept a fencing token as if a leader of that term had called it. */
const acceptToken = (system: TestSystem, fencingToken: number) =>
    Effect.forkScoped(system.workers.port.renewLease(
        makeWorker("w1"),
        { leaseUntilMs: undefined, fencingToken, acknowledgedSequence: 0, waitMs: 0 },
        1_000,
    ));

// Guards against a leader that keeps its leadership after a worker refused its orders, and so accepts and starts nothing
// until another event ends its term.
testWithClock(
    "a fenced leader gives up its leadership until a term follows that the worker accepts",
    Effect.gen(function*() {
        const { logger, lines } = createRecordingLogger();
        const system = yield* startTestSystemWith(port => port, { logger });
        yield* system.addWorker(makeWorker("w1"));
        yield* system.pass(200);
        yield* acceptToken(system, 3);
        yield* system.pass(4_000);
        assert.deepEqual(yield* system.submit(makeJob("a")), { kind: "accepted" });
        yield* system.pass(3_000);
        assert.deepEqual(yield* readPhase(system, "a"), { kind: "phase", phase: "completed" });
        const givenUp = lines.filter(line =>
            line.message === "leadership is given up; a worker accepted a later leader"
        );
        assert.deepEqual(givenUp.map(({ level, fields }) => [level, fields["term"]]), [["warn", 1], ["warn", 2]]);
    }),
);

// Guards against a fenced leader that tries to give up its leadership only once.
testWithClock(
    "a fenced leader tries again when the leadership could not be transferred",
    Effect.gen(function*() {
        const { logger, lines } = createRecordingLogger();
        let failures = 0;
        const system = yield* startTestSystemWith(port => port, {
            logger,
            wrapLog: log => ({
                ...log,
                transferLeadership: Effect.suspend(() => {
                    failures += 1;
                    switch (failures) {
                        case 1:
                            return Effect.fail(
                                { kind: "timeout", operation: "transfer to b", limitMs: 2_000 } as const,
                            );
                        case 2:
                            return Effect.die(new Error("no link"));
                        default:
                            return log.transferLeadership;
                    }
                }),
            }),
        });
        yield* system.addWorker(makeWorker("w1"));
        yield* system.pass(200);
        yield* acceptToken(system, 2);
        yield* system.pass(5_000);
        assert.deepEqual(yield* system.submit(makeJob("a")), { kind: "accepted" });
        assert.equal(failures, 3);
        assert.equal(lines.filter(line => line.message === "leadership could not be transferred").length, 1);
    }),
);

// Guards against a leader that transfers its leadership although no worker has refused its orders.
testWithClock(
    "a leader that is not fenced keeps its leadership",
    Effect.gen(function*() {
        let transfers = 0;
        const system = yield* startTestSystemWith(port => port, {
            wrapLog: log => ({
                ...log,
                transferLeadership: Effect.suspend(() => {
                    transfers += 1;
                    return log.transferLeadership;
                }),
            }),
        });
        yield* system.addWorker(makeWorker("w1"));
        system.workers.setFault("w1", "cut");
        yield* system.pass(5_000);
        assert.equal(transfers, 0);
    }),
);
