import fc from "fast-check";
import assert from "node:assert/strict";
import { test } from "node:test";
import { floorShare, orderByShares } from "./order-by-shares.js";
import type { WaitingWork } from "./rank-by-value.js";
import { createShareMemory, recordStartedWork, type ShareMemory, smallestOfferedShare } from "./share-memory.js";

const nowMs = 1_000_000;
const seed = 20_261_204;

function makeWork(key: string, work: number, changes: Partial<WaitingWork> = {}): WaitingWork {
    return { queue: "batch", key, work, workToStart: work, completion: 0.5, ...changes };
}

/** A memory that has seen 100 jobs of 1 to 100 seconds of one core, so that those of 90 seconds and more are large. */
function makeMemory(): ShareMemory {
    const memory = createShareMemory();
    const seen = [...Array(100).keys()].map(index => makeWork(`seen${index}`, (index + 1) * 1_000));
    orderByShares(memory, seen, nowMs);
    return memory;
}

function listOrder(waiting: readonly WaitingWork[], memory = makeMemory()): readonly string[] {
    return orderByShares(memory, waiting, nowMs).ordered.map(({ key }) => key);
}

// Guards against jobs that begin and are then passed over by new smaller ones, so that their work is lost.
test("under a burst of the batch queue a job that has begun goes before a smaller one that has not", () => {
    const begun = makeWork("begun", 40_000, { workToStart: 5_000 });
    assert.deepEqual(listOrder([makeWork("small", 20_000), begun]), ["begun", "small"]);
});

// Guards against the order by size, under which the largest jobs of a contended queue wait longest although a core-second of theirs
// earns as much.
test("under a burst of the batch queue a job goes first that earns more for each core-second", () => {
    const order = listOrder([makeWork("small", 25_000, { completion: 1.3 }), makeWork("large", 95_000)]);
    assert.deepEqual(order, ["large", "small"]);
});

interface History {
    /** Jobs that wait all the time, by work in core-milliseconds. */
    readonly works: readonly number[];
    /** Jobs that arrive after each start. */
    readonly arrivals: readonly number[];
}

const largest = 100_000;
const historyArbitrary: fc.Arbitrary<History> = fc.record({
    works: fc.array(fc.integer({ min: 100, max: largest }), { minLength: 1, maxLength: 20 }),
    arrivals: fc.array(fc.integer({ min: 100, max: largest }), { minLength: 200, maxLength: 400 }),
});

// Guards against jobs of a size group that are passed over without end while others of the same priority arrive without end. The
// bound is that of docs/design/fair-sharing.md: the group is given a turn once its least share of what others start covers its job,
// after at most one job of each other group.
test("no group with a job that could be in time is passed over beyond the stated bound of work", () => {
    const bound = largest / (floorShare * smallestOfferedShare) + 2 * largest;
    fc.assert(
        fc.property(historyArbitrary, ({ works, arrivals }) => {
            const memory = makeMemory();
            const waiting = new Map(works.map((work, index) => [`w${index}`, makeWork(`w${index}`, work)]));
            const passedOver = new Map<string, number>();
            arrivals.forEach((work, index) => {
                waiting.set(`a${index}`, makeWork(`a${index}`, work));
                const [first] = orderByShares(memory, [...waiting.values()], nowMs).ordered;
                assert.ok(first !== undefined);
                waiting.delete(first.key);
                const own = memory.seen.get(first.key)?.group.group;
                recordStartedWork(memory, first.key, first.workToStart, floorShare);
                const groups = new Set([...waiting.keys()].map(key => memory.seen.get(key)?.group.group));
                for (const group of ["small", "medium", "large"] as const) {
                    const passed = group === own || !groups.has(group)
                        ? 0
                        : (passedOver.get(group) ?? 0) + first.workToStart;
                    passedOver.set(group, passed);
                    assert.ok(passed <= bound, `${group} was passed over for ${passed} of ${bound}`);
                }
            });
        }),
        { seed, numRuns: 60 },
    );
});

// Guards against a queue of small jobs that takes all that becomes free: without turns the large job goes last for ever.
test("a large job gets its turn while small jobs that earn more arrive without end", () => {
    const memory = makeMemory();
    const large = makeWork("large", 100_000);
    let started = 0;
    for (let index = 0; index < 10_000; index += 1) {
        const [first] = orderByShares(memory, [large, makeWork(`s${index}`, 1_000)], nowMs).ordered;
        if (first?.key === "large") {
            assert.ok(started <= large.work / (floorShare * smallestOfferedShare), `${started}`);
            return;
        }
        started += 1_000;
        recordStartedWork(memory, first?.key ?? "", 1_000, floorShare);
    }
    assert.fail("the large job got no turn");
});
