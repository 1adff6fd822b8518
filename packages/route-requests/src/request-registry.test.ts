import type { ErrorData } from "@chestnutspool/types";
import fc from "fast-check";
import assert from "node:assert/strict";
import { test } from "node:test";
import { createQuarantine, createRequestRegistry } from "./index.js";

const body = { crc32: 1, length: 10 };

function findError(
    result: { readonly extract: () => unknown; readonly isLeft: () => boolean; },
): ErrorData | undefined {
    return result.isLeft() ? result.extract() as ErrorData : undefined;
}

void test("a key has at most one run at a time, and is free again once its run has ended", () => {
    const keys = ["6:moreno:a", "6:moreno:b"];
    const step = fc.record({
        kind: fc.constantFrom("register", "end", "giveUp", "confirm", "wait"),
        key: fc.constantFrom(...keys),
        ms: fc.integer({ min: 1, max: 600 }),
    });
    fc.assert(
        fc.property(fc.array(step, { maxLength: 80, size: "max" }), steps => {
            const registry = createRequestRegistry();
            // The model: infinity while the key is served here, else the time until which its last run may still last;
            // the key cannot start again before.
            const busyUntil = new Map<string, number>();
            let nowMs = 0;
            for (const { kind, key, ms } of steps) {
                const isServed = busyUntil.get(key) === Number.POSITIVE_INFINITY;
                if (kind === "wait") {
                    nowMs += ms;
                }
                if (kind === "register") {
                    const isFree = (busyUntil.get(key) ?? 0) <= nowMs;
                    const error = findError(registry.registerRequest(key, 0, body, nowMs));
                    assert.equal(error?.kind, isFree ? undefined : "stillRunning");
                    busyUntil.set(key, isFree ? Number.POSITIVE_INFINITY : busyUntil.get(key) ?? 0);
                }
                if (kind === "end" && isServed) {
                    registry.forgetRequest(key);
                    busyUntil.delete(key);
                }
                if (kind === "giveUp" && isServed) {
                    registry.holdRequest(key, `attempt of ${key}`, nowMs + ms);
                    busyUntil.set(key, nowMs + ms);
                }
                if (kind === "confirm" && !isServed) {
                    registry.confirmEnd(`attempt of ${key}`);
                    busyUntil.delete(key);
                }
            }
        }),
        { seed: 7, numRuns: 1_000 },
    );
});

void test("a resend with another body is refused instead of getting the answer to the first body", () => {
    const registry = createRequestRegistry();
    registry.registerRequest("6:moreno:a", 0, body, 0);
    for (const other of [{ crc32: 2, length: 10 }, { crc32: 1, length: 11 }]) {
        assert.deepEqual(findError(registry.registerRequest("6:moreno:a", 0, other, 0)), {
            kind: "requestIdReused",
            requestId: "a",
        });
    }
});

void test("a handed-over request keeps its key until the end of its attempt is confirmed or its lease expired", () => {
    const registry = createRequestRegistry();
    registry.addHandedOverRequest("6:moreno:a", 3, "attempt-1", 1_000);
    assert.deepEqual(findError(registry.registerRequest("6:moreno:a", 3, body, 400)), {
        kind: "stillRunning",
        requestId: "a",
        retryAfterMs: 600,
    });
    registry.confirmEnd("attempt-1");
    assert.equal(findError(registry.registerRequest("6:moreno:a", 3, body, 400)), undefined);
});

void test("a quarantine covers the session time and the longest run of the lost coordinator", () => {
    const quarantine = createQuarantine({ sessionMs: 3_280, leaseMarginMs: 250, clockDriftPercent: 1 });
    assert.equal(quarantine.computeRemainingMs(5, 1_000, 0), 0);
    quarantine.recordExpiry(5, 100);
    assert.equal(quarantine.computeRemainingMs(5, 1_000, 100), 3_280 + 1_010 + 250);
    assert.equal(quarantine.computeRemainingMs(5, 1_000, 100 + 4_539), 1);
    assert.equal(quarantine.computeRemainingMs(5, 1_000, 100 + 4_540), 0);
});
