import fc from "fast-check";
import assert from "node:assert/strict";
import { test } from "node:test";
import { createKeptRacks, keptWorkersShare, listKeptRackWorkers, longestKeptMs } from "./kept-racks.js";

const passMs = 100;

/** Lists for each pass how many of 100 workers are kept; `isWanted` tells which of the racks of 8 workers are wanted. */
function countKept(passes: number, isWanted: (pass: number, rack: number) => boolean): number[] {
    const kept = createKeptRacks();
    return Array.from({ length: passes }, (none, pass) => {
        const wanted = new Set([0, 1, 2].filter(rack => isWanted(pass, rack)).map(rack => `pool r${rack}`));
        const listWorkers = (key: string): string[] => Array.from({ length: 8 }, (no, index) => `${key}-${index}`);
        const countWorkers = () => ({ service: "pool", workers: 100 });
        return listKeptRackWorkers(kept, wanted, listWorkers, countWorkers, pass * passMs).size;
    });
}

// Guards against a hot rack that takes its workers from all other queues for good.
test("tasks stay away from a rack for ten seconds at most, then not for as long, while the demand lasts", () => {
    const kept = countKept(400, (pass, rack) => rack === 0).map(workers => workers > 0);
    assert.equal(kept[0], true);
    assert.equal(kept.indexOf(false), longestKeptMs / passMs);
    assert.ok(kept.slice(100, 200).every(isKept => !isKept));
    assert.ok(kept.slice(200, 300).every(Boolean));
});

// Guards against several hot racks that together take the room of the other queues.
test("of the workers of a service at most a tenth is kept", () => {
    assert.equal(countKept(1, () => true)[0], 100 * keptWorkersShare);
});

// Guards against tasks that come back to the rack in each gap between two jobs that want it, and against a rack that
// stays empty once nobody wants it.
test("a rack stays kept for a second after the demand, and no longer", () => {
    const kept = countKept(40, pass => pass % 8 === 0 && pass <= 16).map(workers => workers > 0);
    assert.ok(kept.slice(0, 27).every(Boolean));
    assert.ok(kept.slice(27).every(isKept => !isKept));
});

test("whatever the demand, a rack is kept for at most half of any 40 s and ten seconds more", () => {
    const demand = fc.array(fc.boolean(), { minLength: 40, maxLength: 40 });
    fc.assert(
        fc.property(demand, wishes => {
            const kept = countKept(800, (pass, rack) => rack === 0 && wishes[Math.floor(pass / 20)] === true);
            let stretch = 0;
            for (const [pass, workers] of kept.entries()) {
                stretch = workers > 0 ? stretch + 1 : 0;
                assert.ok(stretch <= longestKeptMs / passMs, `kept for ${stretch} passes at ${pass}`);
                const window = kept.slice(pass, pass + 400).filter(count => count > 0).length;
                assert.ok(window <= 200 + longestKeptMs / passMs, `kept in ${window} passes from ${pass} on`);
            }
        }),
        { seed: 20_261_204, numRuns: 100 },
    );
});
