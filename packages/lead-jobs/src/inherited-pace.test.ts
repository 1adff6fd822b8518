import { makeJob, makeStep, testStartMs } from "@chestnutspool/job-state/fakes";
import type { OrderAnswer } from "@chestnutspool/types";
import { Effect } from "effect";
import { TestClock } from "effect/testing";
import assert from "node:assert/strict";
import { test } from "node:test";
import { makeWorker, type RunLoad, startTestSystemWith } from "./fakes/index.js";

const targetMs = 20;
/** Time for which the serving task has no margin, in milliseconds. */
const busyMs = 10_000;
const memoryMib = 50;
const fullMilliCpu = 500;
const firstTerm = 1;
const notSent: OrderAnswer = { kind: "notSent", detail: "no link" };

/** A serving task that a best-effort task beside it disturbs, until its own load falls. */
function makeServingLoad(isBusy: () => boolean): RunLoad {
    return {
        kind: "serving",
        readTailMs: milliCpu => {
            const headroom = isBusy() ? 1.02 : 3;
            return targetMs / Math.max(0.2, headroom - 0.1 * milliCpu / fullMilliCpu);
        },
    };
}

// Guards against a best-effort task that stays slow without end: a new leader takes it for running at full pace.
test("a new leader speeds up a run that the leader before it has slowed down", async () => {
    const play = Effect.gen(function*() {
        yield* TestClock.setTime(testStartMs);
        const paces: number[] = [];
        let isBusy = true;
        const system = yield* startTestSystemWith(port => ({
            ...port,
            paceRun: (info, run, percent, token, limitMs) => {
                if (token === firstTerm && !isBusy) {
                    return Effect.succeed(notSent);
                }
                paces.push(percent);
                return port.paceRun(info, run, percent, token, limitMs);
            },
        }));
        const servingLoad = makeServingLoad(() => isBusy);
        system.workers.setBehaviour(({ job }) => ({
            runMs: Number.POSITIVE_INFINITY,
            outcome: "succeeded",
            load: job === "web" ? servingLoad : { kind: "bestEffort", milliCpu: fullMilliCpu },
        }));
        yield* system.addWorker(makeWorker("w0", { bornAtMs: 1 }));
        const resources = { milliCpu: 500, memoryMib, accelerators: 0 };
        yield* system.submit(makeJob("web", [
            makeStep({ longRunning: true, tailTargetMs: targetMs, image: "web", resources }),
        ]));
        yield* system.submit(makeJob("forecast", [
            makeStep({
                usesIdleCpu: true,
                image: "forecast",
                expectedRunMs: 60_000,
                checkpointing: true,
                resources: { ...resources, milliCpu: fullMilliCpu },
            }),
        ]));
        yield* system.pass(busyMs);
        const slowed = paces.at(-1);
        assert.ok(slowed !== undefined && slowed < 100, `${slowed}`);
        // The first leader sees the margin and does not reach the worker any more.
        isBusy = false;
        yield* system.pass(2_000);
        system.log.setLeader("b");
        yield* system.pass(10_000);
        assert.equal(paces.at(-1), 100);
    });
    await Effect.runPromise(Effect.scoped(play).pipe(Effect.provide(TestClock.layer())));
});
