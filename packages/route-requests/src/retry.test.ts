import type { NotRunReason } from "@chestnutspool/types";
import fc from "fast-check";
import assert from "node:assert/strict";
import { test } from "node:test";
import { createOutlierEjector, createRetryBudget, decideRetry, type FailedAttempt } from "./index.js";

const failedAttempt: fc.Arbitrary<FailedAttempt> = fc.oneof(
    fc.record({
        state: fc.constant("notSent" as const),
        reason: fc.constantFrom<NotRunReason>("refusedByMinion", "deadlineExceeded"),
        retryAfterMs: fc.constantFrom(undefined, 100),
    }),
    fc.record({
        state: fc.constant("maybeRun" as const),
        endsAtMs: fc.integer({ min: 0, max: 3_000 }),
        answerBegun: fc.boolean(),
    }),
);

void test("no retry starts while an attempt may run, and none after a non-idempotent request may have run", () => {
    const context = fc.record({
        requestId: fc.constant("a"),
        idempotent: fc.boolean(),
        deadlineAtMs: fc.integer({ min: 0, max: 3_000 }),
        serviceTimeMs: fc.option(fc.integer({ min: 0, max: 500 }), { nil: undefined }),
    });
    const retries = fc.constantFrom(0, 5);
    fc.assert(
        fc.property(failedAttempt, context, fc.nat({ max: 3_000 }), retries, (attempt, request, nowMs, budgetSize) => {
            const decision = decideRetry(attempt, request, createRetryBudget(0, budgetSize), nowMs);
            const isNotRun = decision.kind === "giveUp" && decision.error.kind === "notRun";
            assert.ok(!isNotRun || attempt.state === "notSent", "not run is reported only when it is certain");
            if (decision.kind === "retry") {
                assert.ok(decision.atMs + (request.serviceTimeMs ?? 0) <= request.deadlineAtMs, "fits the deadline");
                assert.ok(budgetSize > 0, "is within the budget");
                if (attempt.state === "maybeRun") {
                    assert.ok(request.idempotent && !attempt.answerBegun);
                    assert.ok(decision.atMs >= attempt.endsAtMs, "waits for the end of the run lease");
                }
            }
        }),
        { seed: 8, numRuns: 3_000 },
    );
});

void test("retries stay within a share of first attempts and a minimum, so that they cannot multiply overload", () => {
    const load = fc.array(fc.record({ firsts: fc.nat({ max: 50 }), retries: fc.nat({ max: 50 }) }), { maxLength: 50 });
    fc.assert(
        fc.property(load, seconds => {
            const budget = createRetryBudget(10, 3);
            let firsts = 0;
            let taken = 0;
            for (const [second, each] of seconds.entries()) {
                firsts += each.firsts;
                Array.from({ length: each.firsts }, () => budget.recordFirstAttempt(second * 1_000));
                for (let retry = 0; retry < each.retries; retry += 1) {
                    taken += budget.takeRetry(second * 1_000) ? 1 : 0;
                }
                assert.ok(taken <= firsts * 0.1 + 3 * (second + 1) + 0.001);
            }
        }),
        { seed: 9, numRuns: 500 },
    );
});

void test("never more than half of the minions are ejected, and never the last one", () => {
    const minions = ["a", "b", "c", "d", "e"];
    const step = fc.record({
        minion: fc.constantFrom(...minions),
        fails: fc.boolean(),
        ms: fc.nat({ max: 2_000 }),
    });
    const count = fc.integer({ min: 1, max: 5 });
    fc.assert(
        fc.property(fc.array(step, { maxLength: 60, size: "max" }), count, (steps, present) => {
            const ejector = createOutlierEjector();
            const service = minions.slice(0, present);
            let nowMs = 0;
            for (const { minion, fails, ms } of steps) {
                nowMs += ms;
                if (fails) {
                    ejector.recordFailure(minion, nowMs);
                }
                else {
                    ejector.recordSuccess(minion);
                }
                const usable = ejector.filterUsable(service, nowMs);
                assert.ok(usable.length >= 1 && usable.length >= present / 2);
            }
        }),
        { seed: 10, numRuns: 1_000 },
    );
});

void test("an ejection ends, and each further one without a success lasts longer", () => {
    const ejector = createOutlierEjector();
    const isUsable = (nowMs: number): boolean => ejector.filterUsable(["a", "b", "c"], nowMs).includes("a");
    for (let failure = 0; failure < 3; failure += 1) {
        ejector.recordFailure("a", 0);
    }
    assert.ok(!isUsable(999) && isUsable(1_000));
    ejector.recordFailure("a", 1_000);
    assert.ok(!isUsable(2_999) && isUsable(3_000));
    ejector.recordSuccess("a");
    ejector.recordFailure("a", 3_000);
    assert.ok(isUsable(3_000));
});
