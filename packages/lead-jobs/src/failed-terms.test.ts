import { makeJob } from "@chestnutspool/job-state/fakes";
import { Effect } from "effect";
import assert from "node:assert/strict";
import { createRecordingLogger, failWhile, makeWorker, startTestSystemWith, testWithClock } from "./fakes/index.js";

// Guards against a process that never opens a term again after one exception, while its log keeps the leadership.
testWithClock(
    "a term is opened after an exception in its opening",
    Effect.gen(function*() {
        const { logger, lines } = createRecordingLogger();
        let hasFailed = false;
        const system = yield* startTestSystemWith(port => port, {
            logger,
            wrapLog: log => ({
                ...log,
                confirmRead: Effect.suspend(() => {
                    const isFirst = !hasFailed;
                    hasFailed = true;
                    return isFirst ? Effect.die(new Error("no answer")) : log.confirmRead;
                }),
            }),
        });
        yield* system.pass(1_000);
        assert.deepEqual(yield* system.submit(makeJob("a")), { kind: "accepted" });
        const failed = lines.filter(line => line.message === "loop failed; it is started again");
        assert.deepEqual(failed.map(({ fields }) => fields["loop"]), ["leadership"]);
    }),
);

// Guards against a process that never leads again, because an exception ended the fiber that waits for the end of a term.
testWithClock(
    "a process leads a later term after an exception at a change of the status",
    Effect.gen(function*() {
        const { logger, lines } = createRecordingLogger();
        const fault = { isFailing: false };
        const system = yield* startTestSystemWith(port => port, {
            logger,
            wrapLog: log => ({
                ...log,
                readStatus: failWhile(fault, log.readStatus),
            }),
        });
        yield* system.addWorker(makeWorker("w1"));
        yield* system.pass(500);
        fault.isFailing = true;
        system.log.setLeader("a");
        yield* system.pass(50);
        fault.isFailing = false;
        yield* system.pass(1_000);
        assert.deepEqual(yield* system.submit(makeJob("a")), { kind: "accepted" });
        assert.equal(lines.filter(line => line.message === "term opened").at(-1)?.fields["term"], 2);
        assert.ok(lines.some(line => line.fields["loop"] === "term"));
    }),
);

// Guards against two openings of one term: the second one takes the orders of the first for those of an earlier leader, and
// starts their tasks again although the orders may still arrive.
testWithClock(
    "a term is not opened twice after an exception at a change of the status",
    Effect.gen(function*() {
        const { logger, lines } = createRecordingLogger();
        const fault = { isFailing: false };
        let notify: () => void = () => undefined;
        const system = yield* startTestSystemWith(port => port, {
            logger,
            wrapLog: log => ({
                ...log,
                readStatus: failWhile(fault, log.readStatus),
                watchStatus: listener => {
                    const first = notify;
                    notify = () => {
                        first();
                        listener(log.readStatus());
                    };
                    return log.watchStatus(listener);
                },
            }),
        });
        yield* system.pass(500);
        fault.isFailing = true;
        notify();
        yield* system.pass(50);
        fault.isFailing = false;
        yield* system.pass(1_000);
        assert.equal(lines.filter(line => line.message === "term opened").length, 1);
        assert.deepEqual(yield* system.submit(makeJob("a")), { kind: "accepted" });
    }),
);
