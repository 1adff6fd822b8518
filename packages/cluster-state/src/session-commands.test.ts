import { type ClusterState, formatItemKey } from "@chestnutspool/types";
import fc from "fast-check";
import assert from "node:assert/strict";
import { test } from "node:test";
import { type Driver, getRefusal, makeDriver, openEntry } from "./fakes/make-commands.js";

const seed = 20_262;

function addMinion(driver: Driver, id: string, availabilityZone: string): void {
    const minion = { id, service: "plume", address: "10.0.0.2:1", availabilityZone, slots: 8, connections: 64 };
    driver.apply({ kind: "registerMinion", minion });
}

function countHeld(state: ClusterState, kind: "shard" | "minion"): Map<string, number> {
    const counts = new Map([...state.entries.values()].filter(entry => !entry.draining).map(entry => [entry.entry, 0]));
    for (const record of state.ownership.values()) {
        const holder = record.next ?? record.owner ?? "";
        if (record.item.kind === kind) {
            counts.set(holder, (counts.get(holder) ?? 0) + 1);
        }
    }
    return counts;
}

function releaseAll(driver: Driver): number {
    const releasing = [...driver.state.ownership.values()].filter(record => record.phase === "releasing");
    for (const { item, owner, epoch } of releasing) {
        driver.apply({ kind: "moveOwnership", item, from: owner ?? "", epoch, attempts: [] });
    }
    return releasing.length;
}

function checkSpread(counts: ReadonlyMap<string, number>): void {
    const values = [...counts.values()];
    assert.ok(Math.max(...values) - Math.min(...values) <= 1, `unequal: ${values.join(", ")}`);
}

void test("a rebalance gives equal shares after joins, losses and drains; a join moves only the new share", () => {
    const step = fc.record({ kind: fc.constantFrom("join", "lose", "drain", "minion"), entry: fc.nat(7) });
    fc.assert(
        fc.property(fc.array(step, { minLength: 1, maxLength: 25 }), steps => {
            const driver = makeDriver();
            openEntry(driver, "entry-first");
            for (const [position, { kind, entry: number }] of steps.entries()) {
                const entry = `entry-${number}`;
                const session = driver.state.entries.get(entry);
                if (kind === "join" && session === undefined) {
                    openEntry(driver, entry, ["a", "b", "c"][number % 3]);
                }
                if (kind === "lose" && session !== undefined) {
                    driver.apply({ kind: "expireEntry", entry, incarnation: "first" });
                }
                if (kind === "drain" && session !== undefined) {
                    driver.apply({ kind: "drainSession", entry, incarnation: "first" });
                }
                if (kind === "minion") {
                    addMinion(driver, `minion-${position}`, ["a", "b", "c"][number % 3] ?? "a");
                }
                releaseAll(driver);
                driver.apply({ kind: "rebalanceOwnership" });
                checkSpread(countHeld(driver.state, "shard"));
                checkSpread(countHeld(driver.state, "minion"));
                const moved = releaseAll(driver);
                const staying = [...driver.state.entries.values()].filter(other => !other.draining).length;
                const share = Math.ceil(64 / staying) + Math.ceil(driver.state.minions.size / staying);
                assert.ok(kind !== "join" || moved <= share, `a join moved ${moved} items, the share is ${share}`);
            }
        }),
        { seed, numRuns: 150, includeErrorInReport: true },
    );
});

void test("minions go to entry hosts of their own availability zone when the shares allow it", () => {
    const driver = makeDriver();
    for (const [position, zone] of ["a", "b", "c"].entries()) {
        openEntry(driver, `entry-${position}`, zone);
    }
    for (let count = 0; count < 30; count += 1) {
        addMinion(driver, `minion-${count}`, ["a", "b", "c"][count % 3] ?? "a");
    }
    for (const minion of driver.state.minions.values()) {
        const owner = driver.state.ownership.get(formatItemKey({ kind: "minion", minion: minion.id }))?.owner ?? "";
        assert.equal(driver.state.entries.get(owner)?.availabilityZone, minion.availabilityZone);
    }
});

void test("items of an expired entry host go to the others with a higher epoch and afterExpiry set", () => {
    const driver = makeDriver();
    openEntry(driver, "entry-0");
    const before = driver.state.ownership.get("shard:5");
    assert.equal(before?.afterExpiry, false);
    openEntry(driver, "entry-1");
    driver.apply({ kind: "rebalanceOwnership" });
    driver.apply({ kind: "expireEntry", entry: "entry-0", incarnation: "first" });
    for (const record of driver.state.ownership.values()) {
        assert.equal(record.owner, "entry-1");
        assert.ok(record.epoch > before.epoch && record.afterExpiry && record.phase === "owned");
    }
    driver.apply({ kind: "expireEntry", entry: "entry-1", incarnation: "first" });
    assert.ok([...driver.state.ownership.values()].every(record => record.phase === "unowned"));
    openEntry(driver, "entry-2");
    assert.ok([...driver.state.ownership.values()].every(record => record.owner === "entry-2" && record.afterExpiry));
});

void test("attempts of an expired owner stay unknown through a planned move until their run leases expire", () => {
    const driver = makeDriver();
    openEntry(driver, "entry-0");
    driver.apply({ kind: "expireEntry", entry: "entry-0", incarnation: "first" });
    openEntry(driver, "entry-1");
    openEntry(driver, "entry-2");
    driver.apply({ kind: "rebalanceOwnership" });
    const [early, late] = [...driver.state.ownership].filter(([, record]) => record.phase === "releasing");
    assert.ok(early !== undefined && late !== undefined);
    const move = ([, { item, epoch }]: typeof early) =>
        driver.apply({ kind: "moveOwnership", item, from: "entry-1", epoch, attempts: [] });
    move(early);
    driver.nowMs += 660_001;
    move(late);
    assert.equal(driver.state.ownership.get(early[0])?.afterExpiry, true);
    assert.equal(driver.state.ownership.get(late[0])?.afterExpiry, false);
});

void test("a release that was cancelled cannot be completed by a late message of the old owner", () => {
    const driver = makeDriver();
    openEntry(driver, "entry-0");
    openEntry(driver, "entry-1");
    driver.apply({ kind: "rebalanceOwnership" });
    const found = [...driver.state.ownership].find(([, record]) => record.phase === "releasing");
    assert.ok(found !== undefined);
    const [key, { item, epoch }] = found;
    driver.apply({ kind: "expireEntry", entry: "entry-1", incarnation: "first" });
    assert.equal(driver.state.ownership.get(key)?.owner, "entry-0");
    openEntry(driver, "entry-2");
    driver.apply({ kind: "rebalanceOwnership" });
    assert.equal(driver.state.ownership.get(key)?.phase, "releasing");
    const late = driver.apply({ kind: "moveOwnership", item, from: "entry-0", epoch, attempts: [] });
    assert.equal(getRefusal(late).kind, "staleToken");
});

void test("a new incarnation is refused while the session of the earlier one lasts and owns items", () => {
    const driver = makeDriver();
    openEntry(driver, "entry-0");
    const session = {
        entry: "entry-0",
        incarnation: "second",
        peerAddress: "10.0.0.1:1",
        availabilityZone: "a",
        draining: false,
    };
    assert.equal(getRefusal(driver.apply({ kind: "openSession", session })).kind, "sessionExpired");
    openEntry(driver, "entry-1");
    driver.apply({ kind: "drainSession", entry: "entry-0", incarnation: "first" });
    releaseAll(driver);
    assert.equal(driver.apply({ kind: "openSession", session }).kind, "done");
    assert.equal(driver.state.entries.get("entry-0")?.draining, false);
});
