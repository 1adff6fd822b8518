import { makeJob, makeStep } from "@chestnutspool/job-state/fakes";
import type { ErrorData, OrderAnswer } from "@chestnutspool/types";
import { Effect } from "effect";
import assert from "node:assert/strict";
import { createRecordingLogger, makeWorker, startTestSystemWith, testWithClock } from "./fakes/index.js";

// Guards against a run that stays recorded as ordered for the rest of the term, so that its task never runs.
testWithClock(
    "a task is started again after an exception in its start order",
    Effect.gen(function*() {
        const { logger, lines } = createRecordingLogger();
        let failures = 0;
        const system = yield* startTestSystemWith(port => ({
            ...port,
            startRun: (worker, order, limitMs) =>
                Effect.suspend(() => {
                    failures += 1;
                    return failures === 1 ? Effect.die(new Error("no link")) : port.startRun(worker, order, limitMs);
                }),
        }), { logger });
        yield* system.addWorker(makeWorker("w1"));
        yield* system.pass(200);
        yield* system.submit(makeJob("a"));
        yield* system.pass(8_000);
        const reply = yield* system.ask({ kind: "readJob", job: "a", hostName: "jobs.example", path: "/main/a" });
        assert.deepEqual(reply, { kind: "phase", phase: "completed" });
        const failed = lines.filter(line => line.message === "order failed");
        assert.deepEqual(failed.map(({ level, fields }) => [level, fields["order"], fields["worker"]]), [
            ["error", "start", "w1"],
        ]);
    }),
);

// Guards against a run that stays recorded as ordered, because the log refused to record that its order was not sent.
testWithClock(
    "a task is started again when the end of a start that was not sent cannot be recorded",
    Effect.gen(function*() {
        let starts = 0;
        let refusals = 0;
        const system = yield* startTestSystemWith(
            port => ({
                ...port,
                startRun: (worker, order, limitMs) =>
                    Effect.suspend(() => {
                        starts += 1;
                        return starts === 1
                            ? Effect.succeed<OrderAnswer>({ kind: "notSent", detail: "no connection" })
                            : port.startRun(worker, order, limitMs);
                    }),
            }),
            {
                wrapLog: log => ({
                    ...log,
                    proposeCommand: command =>
                        Effect.suspend(() => {
                            if (command.kind !== "endRuns" || refusals > 0) {
                                return log.proposeCommand(command);
                            }
                            refusals += 1;
                            return Effect.fail<ErrorData>({ kind: "notLeader", leader: undefined });
                        }),
                }),
            },
        );
        yield* system.addWorker(makeWorker("w1"));
        yield* system.pass(200);
        yield* system.submit(makeJob("a"));
        yield* system.pass(5_000);
        assert.equal(refusals, 1);
        const reply = yield* system.ask({ kind: "readJob", job: "a", hostName: "jobs.example", path: "/main/a" });
        assert.deepEqual(reply, { kind: "phase", phase: "completed" });
    }),
);

// Guards against a run that keeps its resources although its job was cancelled: its stop is requested only once.
testWithClock(
    "a run is stopped after an exception in its stop order",
    Effect.gen(function*() {
        let failures = 0;
        const system = yield* startTestSystemWith(port => ({
            ...port,
            stopRun: (worker, run, token, limitMs) =>
                Effect.suspend(() => {
                    failures += 1;
                    return failures === 1
                        ? Effect.die(new Error("no link"))
                        : port.stopRun(worker, run, token, limitMs);
                }),
        }));
        system.workers.setBehaviour(() => ({ runMs: 60_000, outcome: "succeeded" }));
        yield* system.addWorker(makeWorker("w1"));
        yield* system.pass(200);
        yield* system.submit(makeJob("a", [makeStep({ expectedRunMs: 60_000 })]));
        yield* system.pass(500);
        yield* system.ask({ kind: "cancelJob", job: "a", hostName: "jobs.example", path: "/main/a" });
        yield* system.pass(3_000);
        assert.deepEqual((yield* system.readStartedRuns).map(run => run.outcome), ["stopped"]);
    }),
);
