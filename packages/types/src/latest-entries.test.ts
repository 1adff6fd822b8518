import assert from "node:assert/strict";
import { test } from "node:test";
import { dropOldest, setLatest } from "./latest-entries.js";

/** A map that counts how often its keys are listed. */
class CountingMap extends Map<string, number> {
    listings = 0;

    override keys(): MapIterator<string> {
        this.listings += 1;
        return super.keys();
    }
}

// Guards against a leader that passes thousands of deleted entries of a map with each run that a report lists.
test("the oldest entry is looked up only above the limit", () => {
    const map = new CountingMap();
    for (let round = 0; round < 3; round += 1) {
        for (const key of ["a", "b", "c"]) {
            setLatest(map, key, round, 3);
        }
    }
    assert.equal(map.listings, 0);
    setLatest(map, "a", 3, 3);
    setLatest(map, "d", 3, 3);
    assert.equal(map.listings, 1);
    assert.deepEqual([...map.entries()], [["c", 2], ["a", 3], ["d", 3]]);
});

test("the oldest member of a set is dropped above the limit", () => {
    const set = new Set(["a", "b", "c"]);
    dropOldest(set, 3);
    assert.equal(set.size, 3);
    dropOldest(set, 2);
    assert.deepEqual([...set], ["b", "c"]);
});
