import assert from "node:assert/strict";
import { test } from "node:test";
import { createBatch } from "./batch.js";

function createTestBatch() {
    const sent: (readonly string[])[] = [];
    const flushes: { readonly flush: () => void; readonly delayMs: number; }[] = [];
    const batch = createBatch<string>(
        3,
        items => sent.push(items),
        (flush, delayMs) => flushes.push({ flush, delayMs }),
    );
    return { batch, sent, flushes };
}

test("patient items wait for each other, and go with the first item that does not wait", () => {
    const { batch, sent, flushes } = createTestBatch();
    batch.add("a", 25);
    batch.add("b", 25);
    assert.deepEqual(flushes.map(({ delayMs }) => delayMs), [25]);
    batch.add("c");
    assert.deepEqual(flushes.map(({ delayMs }) => delayMs), [25, 0]);
    flushes[1]?.flush();
    assert.deepEqual(sent, [["a", "b", "c"]]);
    // The flush of the patient ones finds nothing.
    flushes[0]?.flush();
    assert.equal(sent.length, 1);
});

// Guards against an item that no flush is scheduled for.
test("an item that is added after a flush gets one of its own", () => {
    const { batch, sent, flushes } = createTestBatch();
    batch.add("a", 25);
    batch.add("b");
    flushes[1]?.flush();
    batch.add("c", 25);
    assert.equal(flushes.length, 3);
    flushes[0]?.flush();
    flushes[2]?.flush();
    assert.deepEqual(sent, [["a", "b"], ["c"]]);
});
