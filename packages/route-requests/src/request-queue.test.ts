import type { RequestClass } from "@chestnutspool/types";
import fc from "fast-check";
import assert from "node:assert/strict";
import { test } from "node:test";
import {
    createMinionChooser,
    createRequestQueue,
    decideAdmission,
    type MinionCandidate,
    type QueuedRequest,
} from "./index.js";

const limit = 8;
let nextId = 0;

function createQueued(requestClass: RequestClass, tenant: string): QueuedRequest {
    nextId += 1;
    return {
        id: `request-${nextId}`,
        service: "plume",
        class: requestClass,
        tenant,
        shard: 0,
        deadlineAtMs: 1_000,
        excludedMinions: new Set(),
    };
}

const arrival = fc.record({
    requestClass: fc.constantFrom<RequestClass>("urgent", "standard"),
    tenant: fc.constantFrom("a", "b", "c"),
});
const arrivals = fc.array(arrival, { maxLength: 40, size: "max" });

void test("the queue keeps its bound and sheds the lowest class, then the tenant with the most requests", () => {
    fc.assert(
        fc.property(arrivals, all => {
            const queue = createRequestQueue(limit);
            let waiting: QueuedRequest[] = [];
            for (const { requestClass, tenant } of all) {
                const item = createQueued(requestClass, tenant);
                const victim = queue.addRequest(item);
                waiting.push(item);
                if (waiting.length <= limit) {
                    assert.equal(victim, undefined);
                    continue;
                }
                assert.ok(victim !== undefined);
                const standard = waiting.filter(each => each.class === "standard");
                const lowest = standard.length > 0 ? standard : waiting;
                const countOf = (name: string): number => lowest.filter(each => each.tenant === name).length;
                assert.ok(lowest.includes(victim));
                assert.equal(countOf(victim.tenant), Math.max(...["a", "b", "c"].map(countOf)));
                waiting = waiting.filter(each => each.id !== victim.id);
                assert.equal(queue.countRequests(), limit);
            }
        }),
        { seed: 11, numRuns: 500 },
    );
});

void test("requests are taken by class and round robin among tenants, so that no tenant delays the others", () => {
    fc.assert(
        fc.property(arrivals, all => {
            const queue = createRequestQueue(1_000);
            const waiting = new Map<string, QueuedRequest>();
            for (const { requestClass, tenant } of all) {
                const item = createQueued(requestClass, tenant);
                waiting.set(item.id, item);
                queue.addRequest(item);
            }
            const waitedTurns = new Map<string, number>();
            while (waiting.size > 0) {
                const item = queue.takeNext("plume", () => true);
                assert.ok(item !== undefined);
                waiting.delete(item.id);
                const others = [...waiting.values()];
                assert.ok(item.class === "urgent" || others.every(each => each.class === "standard"));
                const sameClass = others.filter(each => each.class === item.class);
                for (const tenant of new Set(sameClass.map(each => each.tenant))) {
                    const turns = tenant === item.tenant ? 0 : (waitedTurns.get(`${item.class}:${tenant}`) ?? 0) + 1;
                    waitedTurns.set(`${item.class}:${tenant}`, turns);
                    assert.ok(turns < 3, `tenant ${tenant} waited while ${turns} of others were served`);
                }
            }
        }),
        { seed: 12, numRuns: 500 },
    );
});

void test("work that cannot finish by its deadline is rejected at once with a retry-after time", () => {
    const load = { queuedAhead: 9, slots: 2, freeSlots: 0, serviceTimeMs: 100 };
    assert.equal(decideAdmission(load, 600).extract(), 600);
    assert.deepEqual(decideAdmission(load, 599).extract(), {
        kind: "notRun",
        reason: "deadlineTooShort",
        retryAfterMs: 250,
    });
    assert.ok(decideAdmission({ ...load, slots: 0 }, 60_000).isLeft());
    assert.ok(decideAdmission({ ...load, serviceTimeMs: undefined }, 1).isRight());
});

void test("the own availability zone is preferred unless it is worse by more than a round trip", () => {
    const near: MinionCandidate = { minion: "near", ownZone: true, outstanding: 2, slots: 8, meanMs: 20 };
    const far: MinionCandidate = { minion: "far", ownZone: false, outstanding: 2, slots: 8, meanMs: 20 };
    const chooser = createMinionChooser("leastExpectedWait", 1);
    assert.equal(chooser.chooseMinion([far, near], 20), "near");
    assert.equal(chooser.chooseMinion([{ ...near, outstanding: 6 }, { ...far, outstanding: 0 }], 20), "far");
    assert.equal(chooser.chooseMinion([], 20), undefined);
    const turns = createMinionChooser("roundRobin", 1);
    assert.notEqual(turns.chooseMinion([near, far], 20), turns.chooseMinion([near, far], 20));
});
