import { makeJob, makeQueue, makeStep } from "@chestnutspool/job-state/fakes";
import type { JobDefinition } from "@chestnutspool/types";
import { Effect } from "effect";
import assert from "node:assert/strict";
import {
    createRecordingLogger,
    makeWorker,
    startTestSystemWith,
    type TestSystem,
    testWithClock,
} from "./fakes/index.js";

const queues = [
    makeQueue({ name: "urgent", path: "/urgent/", priority: 0 }),
    makeQueue({ name: "batch", path: "/batch/", priority: 2 }),
];
const capacity = { milliCpu: 64_000, memoryMib: 64_000, accelerators: 0 };
/** Interval of the samples of a leader; one that reports this much more each time is always busy. */
const sampleMs = 50;

const submitTo = (system: TestSystem, queue: string, spec: JobDefinition) =>
    system.ask({ kind: "submitJob", spec, hostName: "jobs.example", path: `/${queue}/${spec.id}` });

const countStarts = (system: TestSystem, job: string) =>
    Effect.map(system.readStartedRuns, runs => runs.filter(({ task }) => task.startsWith(`${job}.`)).length);

// Guards against a leader without processor time that spends what it has on batch work, so that urgent steps wait behind it.
testWithClock(
    "a leader that is always busy starts urgent tasks at once and limits the others",
    Effect.gen(function*() {
        const { logger, lines } = createRecordingLogger();
        let busyMs = 0;
        const readBusyMs = (): number => {
            busyMs += sampleMs;
            return busyMs;
        };
        const system = yield* startTestSystemWith(port => port, { logger, queues, readBusyMs });
        yield* Effect.forEach([1, 2, 3, 4], number => system.addWorker(makeWorker(`w${number}`, { capacity })));
        yield* system.pass(3_000);
        assert.ok(lines.some(({ message }) => message === "deferrable work is rationed"));
        yield* submitTo(system, "batch", makeJob("b", [makeStep({ count: 100, expectedRunMs: 60_000 })]));
        yield* submitTo(system, "urgent", makeJob("u", [makeStep({ count: 40 })]));
        yield* system.pass(500);
        assert.equal(yield* countStarts(system, "u"), 40);
        const early = yield* countStarts(system, "b");
        assert.ok(early < 40, `${early} batch starts`);
        yield* system.pass(10_000);
        const late = yield* countStarts(system, "b");
        assert.ok(late > early, `${late} batch starts after ${early}`);
    }),
);

// Guards against rationing where no queue is more urgent than another.
testWithClock(
    "a busy leader limits nothing in a pool whose queues have the same priority",
    Effect.gen(function*() {
        let busyMs = 0;
        const readBusyMs = (): number => {
            busyMs += sampleMs;
            return busyMs;
        };
        const alone = [makeQueue({ name: "batch", path: "/batch/", priority: 2 })];
        const system = yield* startTestSystemWith(port => port, { queues: alone, readBusyMs });
        yield* Effect.forEach([1, 2], number => system.addWorker(makeWorker(`w${number}`, { capacity })));
        yield* system.pass(3_000);
        yield* submitTo(system, "batch", makeJob("b", [makeStep({ count: 100, expectedRunMs: 60_000 })]));
        yield* system.pass(1_000);
        assert.equal(yield* countStarts(system, "b"), 100);
    }),
);
