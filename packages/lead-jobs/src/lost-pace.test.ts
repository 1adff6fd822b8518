import { formatRunKey } from "@chestnutspool/job-state";
import { makeJob, makeMachine, makeStep, makeWorker } from "@chestnutspool/job-state/fakes";
import { createInterferenceModel } from "@chestnutspool/learn-interference";
import { planPaces } from "@chestnutspool/plan-jobs";
import { createRunStatus, type RunStatuses } from "@chestnutspool/track-workers";
import type { OrderAnswer } from "@chestnutspool/types";
import { Effect } from "effect";
import { TestClock } from "effect/testing";
import assert from "node:assert/strict";
import { test } from "node:test";
import { orderPace, type SendPaceOrder } from "./order-pace.js";

/** A worker with a serving task and a best-effort task that disturbs it. */
function setUp() {
    const machine = makeMachine([makeWorker("w1")]);
    const resources = { milliCpu: 1_000, memoryMib: 10, accelerators: 0 };
    machine.submit(makeJob("web", [makeStep({ longRunning: true, tailTargetMs: 20, image: "web" })]));
    machine.submit(makeJob("harmful", [
        makeStep({ usesIdleCpu: true, checkpointing: true, resources, image: "harmful" }),
    ]));
    const statuses: RunStatuses = new Map();
    for (const job of ["web", "harmful"]) {
        const key = { job, occurrence: 0, step: 0, position: 0, run: 1 };
        machine.apply({ kind: "startRuns", starts: [{ ...key, worker: "w1" }] });
        statuses.set(formatRunKey(key), createRunStatus(key, "confirmed", 0));
    }
    const interference = createInterferenceModel();
    interference.addPairs([{ image: "web", other: "harmful", disturbance: 6, variance: 0.05 }]);
    const state = machine.state.workers.get("w1");
    const status = statuses.get("harmful.0.0.0#1");
    assert.ok(state !== undefined && status !== undefined);
    return { state, statuses, status, interference };
}

// Guards against a best-effort task that stays slow without end: an order whose answer is lost counts as not carried out.
test("a run is sped up again after the answer to the order that slowed it down was lost", async () => {
    const play = Effect.gen(function*() {
        const { state, statuses, status, interference } = setUp();
        const worker = { percent: 100 };
        const carryOut = (answer: OrderAnswer): SendPaceOrder => percent =>
            Effect.sync(() => {
                worker.percent = percent;
                return answer;
            });
        yield* orderPace(status, 0, carryOut({ kind: "unknown", detail: "no answer" }), () => true);
        for (let atMs = 0; atMs < 60_000; atMs += 250) {
            interference.observeMargin("web", "web", 6, [], atMs);
            for (const { percent } of planPaces(state, statuses, interference, "fine")) {
                yield* orderPace(status, percent, carryOut({ kind: "done", clockMs: atMs }), () => true);
            }
        }
        assert.equal(worker.percent, 100);
    });
    await Effect.runPromise(Effect.scoped(play).pipe(Effect.provide(TestClock.layer())));
});
