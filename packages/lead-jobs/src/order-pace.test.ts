import { createRunStatus, type RunStatus } from "@chestnutspool/track-workers";
import type { OrderAnswer } from "@chestnutspool/types";
import { Effect, type Scope } from "effect";
import { TestClock } from "effect/testing";
import assert from "node:assert/strict";
import { test } from "node:test";
import { orderPace } from "./order-pace.js";

const done: OrderAnswer = { kind: "done", clockMs: 1 };
const lost: OrderAnswer = { kind: "unknown", detail: "no answer" };

/** A run whose worker confirms, or does not confirm, orders after given times. */
class PacedRun {
    readonly status: RunStatus = createRunStatus(
        { job: "j", occurrence: 0, step: 0, position: 0, run: 1 },
        "confirmed",
        0,
    );
    /** Paces in the order in which they were sent. */
    readonly sent: number[] = [];
    /** Pace of the order that was carried out last. */
    workerPercent = 100;
    inProgress = 0;
    mostInProgress = 0;
    isKept = true;

    /** Orders a pace; the order arrives after `delayMs` and is answered then. */
    order(percent: number, delayMs: number, answer: OrderAnswer): Effect.Effect<void, never, Scope.Scope> {
        this.delays.set(percent, [delayMs, answer]);
        return Effect.andThen(
            Effect.forkScoped(orderPace(this.status, percent, sent => this.deliver(sent), () => this.isKept)),
            Effect.yieldNow,
        );
    }

    private readonly delays = new Map<number, readonly [delayMs: number, answer: OrderAnswer]>();

    private deliver(percent: number): Effect.Effect<OrderAnswer> {
        return Effect.suspend(() => {
            this.sent.push(percent);
            this.inProgress += 1;
            this.mostInProgress = Math.max(this.mostInProgress, this.inProgress);
            const [delayMs, answer] = this.delays.get(percent) ?? [0, done];
            return Effect.map(Effect.sleep(delayMs), () => {
                this.inProgress -= 1;
                this.workerPercent = answer.kind === "done" ? percent : this.workerPercent;
                return answer;
            });
        });
    }
}

function testPaces(name: string, play: (run: PacedRun) => Effect.Effect<void, never, Scope.Scope>): void {
    test(name, () =>
        Effect.runPromise(
            Effect.scoped(Effect.suspend(() => play(new PacedRun()))).pipe(Effect.provide(TestClock.layer())),
        ));
}

// Guards against a planner that takes an old pace for the present one, because an order before it failed.
testPaces("a pace that failed does not replace a newer one", run =>
    Effect.gen(function*() {
        yield* run.order(60, 500, lost);
        yield* TestClock.adjust(150);
        yield* run.order(20, 10, done);
        yield* TestClock.adjust(1_000);
        assert.equal(run.status.pacePercent, 20);
        assert.equal(run.workerPercent, 20);
    }));

// Guards against a run that keeps an old pace because the order took a slower relay than the newer one.
testPaces("one order of a run is in progress at a time, and the latest pace follows it", run =>
    Effect.gen(function*() {
        yield* run.order(80, 400, done);
        yield* TestClock.adjust(150);
        yield* run.order(60, 10, done);
        yield* TestClock.adjust(150);
        yield* run.order(40, 10, done);
        yield* TestClock.adjust(1_000);
        assert.deepEqual(run.sent, [80, 40]);
        assert.equal(run.mostInProgress, 1);
        assert.equal(run.workerPercent, 40);
        assert.equal(run.status.pacePercent, 40);
        yield* run.order(100, 10, done);
        yield* TestClock.adjust(100);
        assert.deepEqual(run.sent, [80, 40, 100]);
    }));

// Guards against a worker that keeps a pace which was carried out although its answer was lost.
testPaces(
    "the earlier pace is sent again when it is wanted while the outcome of another one is unknown",
    run =>
        Effect.gen(function*() {
            yield* run.order(60, 500, lost);
            yield* TestClock.adjust(150);
            yield* run.order(100, 10, done);
            yield* TestClock.adjust(1_000);
            assert.deepEqual(run.sent, [60, 100]);
            assert.equal(run.status.pacePercent, 100);
        }),
);

// Guards against a lost order that is never repeated, because the status holds its pace for the present one.
testPaces("a pace that failed is restored to the last confirmed one", run =>
    Effect.gen(function*() {
        yield* run.order(80, 10, done);
        yield* TestClock.adjust(100);
        yield* run.order(60, 400, lost);
        yield* TestClock.adjust(100);
        yield* run.order(40, 400, lost);
        yield* TestClock.adjust(1_000);
        assert.deepEqual(run.sent, [80, 60, 40]);
        assert.equal(run.status.pacePercent, 80);
    }));

// Guards against a run that keeps its old pace for good, because the status holds the one for the present pace whose order
// ended with an exception.
testPaces(
    "a pace whose order ended with an exception is restored to the last confirmed one",
    run =>
        Effect.gen(function*() {
            yield* run.order(80, 10, done);
            yield* TestClock.adjust(100);
            const failed = orderPace(run.status, 60, () => Effect.die(new Error("no link")), () => true);
            assert.equal((yield* Effect.exit(failed))._tag, "Failure");
            assert.equal(run.status.pacePercent, 80);
            yield* run.order(60, 10, done);
            yield* TestClock.adjust(100);
            assert.equal(run.workerPercent, 60);
        }),
);

// Guards against orders for a run that has ended meanwhile.
testPaces("no later pace is sent for a run that has ended", run =>
    Effect.gen(function*() {
        yield* run.order(60, 400, done);
        yield* TestClock.adjust(100);
        yield* run.order(40, 10, done);
        run.isKept = false;
        yield* TestClock.adjust(1_000);
        assert.deepEqual(run.sent, [60]);
    }));
