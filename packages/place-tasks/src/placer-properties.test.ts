import {
    addResources,
    type ClusterState,
    findShortage,
    noResources,
    type PlacementSection,
    type Resources,
    subtractResources,
    type TaskRecord,
} from "@chestnutspool/types";
import fc from "fast-check";
import assert from "node:assert/strict";
import { test } from "node:test";
import { arbitraryState } from "./fakes/arbitrary-state.js";
import type { PlacementDecision } from "./placement-decision.js";
import { createPlacer } from "./placer.js";

const nowMs = 1_000_000;
const parameters = { seed: 6501, numRuns: 1000 };

const settings: fc.Arbitrary<PlacementSection> = fc.record({
    intervalMs: fc.constant(50),
    tailLatencyWeight: fc.integer({ min: 0, max: 10 }),
    batchThroughputWeight: fc.integer({ min: 0, max: 10 }),
    evictionWeight: fc.integer({ min: 0, max: 10 }),
    evictionsPerMinute: fc.integer({ min: 0, max: 4 }),
    highUsePercent: fc.integer({ min: 1, max: 100 }),
});

type Placement = Extract<PlacementDecision, { kind: "placeTask"; }>;

function listPlacements(decisions: readonly PlacementDecision[]): Placement[] {
    return decisions.flatMap(decision => decision.kind === "placeTask" ? [decision] : []);
}

function getTask(state: ClusterState, id: string): TaskRecord {
    const task = state.tasks.get(id);
    assert.ok(task !== undefined, `decision for unknown task ${id}`);
    return task;
}

function getSpec(state: ClusterState, id: string) {
    const work = state.works.get(getTask(state, id).work);
    assert.ok(work !== undefined);
    return work.spec;
}

function sumPlaced(state: ClusterState, placements: readonly Placement[]): Resources {
    return placements.reduce<Resources>(
        (sum, { task }) => addResources(sum, getSpec(state, task).resources),
        noResources,
    );
}

function listFree(state: ClusterState, placements: readonly Placement[]): Map<string, Resources> {
    return new Map([...state.workers.values()].map(worker => {
        const placed = sumPlaced(state, placements.filter(placement => placement.worker === worker.id));
        return [worker.id, subtractResources(worker.capacity, addResources(worker.used, placed))];
    }));
}

/** Workers that may take any number of tasks. */
function listOpen(state: ClusterState): string[] {
    return [...state.workers.values()]
        .filter(({ admission, failuresInRow }) => admission === "open" && failuresInRow === 0).map(({ id }) => id);
}

void test("the charged tasks and the placements of two passes never exceed the capacity of a worker", () => {
    fc.assert(
        fc.property(arbitraryState, settings, (state, section) => {
            const placer = createPlacer(section);
            const first = listPlacements(placer.planPlacements(state, nowMs));
            // Nothing of the first pass is applied yet, so both must fit together.
            const second = listPlacements(placer.planPlacements(state, nowMs + 50));
            for (const [worker, free] of listFree(state, [...first, ...second])) {
                assert.equal(findShortage(noResources, free), undefined, `${worker} is short: ${JSON.stringify(free)}`);
            }
        }),
        parameters,
    );
});

void test("no urgent task stays pending while batch tasks get space in which it would fit", () => {
    fc.assert(
        fc.property(arbitraryState, settings, (state, section) => {
            const placements = listPlacements(createPlacer(section).planPlacements(state, nowMs));
            const isService = ({ task }: { readonly task: string; }) => getSpec(state, task).kind === "service";
            const free = listFree(state, placements.filter(isService));
            const placed = new Set(placements.map(({ task }) => task));
            for (const id of state.pendingTasks) {
                if (isService({ task: id }) && getTask(state, id).notBeforeMs <= nowMs && !placed.has(id)) {
                    const wanted = getSpec(state, id).resources;
                    const fitting = listOpen(state).find(worker =>
                        findShortage(wanted, free.get(worker) ?? noResources) === undefined
                    );
                    assert.equal(fitting, undefined, `${id} waits although it fits on ${fitting}`);
                }
            }
        }),
        parameters,
    );
});

void test("batch tasks within the quota of their tenant come before those that borrow", () => {
    fc.assert(
        fc.property(arbitraryState, settings, (state, section) => {
            const placements = listPlacements(createPlacer(section).planPlacements(state, nowMs));
            const batch = placements.filter(({ task }) => getSpec(state, task).kind !== "service");
            const readUse = (tenant: string, until: number): Resources =>
                addResources(
                    state.usedByTenant.get(tenant) ?? noResources,
                    sumPlaced(
                        state,
                        placements.slice(0, until).filter(({ task }) => getTask(state, task).tenant === tenant),
                    ),
                );
            const isBorrowed = (placement: Placement): boolean => {
                const { tenant } = getTask(state, placement.task);
                const use = readUse(tenant, placements.indexOf(placement) + 1);
                const wanted = getSpec(state, placement.task).resources;
                const quota = state.tenants.get(tenant)?.quota ?? noResources;
                return (["milliCpu", "memoryMib", "accelerators"] as const).some(name =>
                    wanted[name] > 0 && use[name] > quota[name]
                );
            };
            const firstBorrowed = batch.findIndex(isBorrowed);
            const later = firstBorrowed < 0 ? [] : batch.slice(firstBorrowed);
            assert.ok(later.every(isBorrowed), "a task within its quota came after a borrowing one");
        }),
        parameters,
    );
});

/**
 * Whether the space of the task may be reclaimed: its tenant borrows, or urgent tasks of the same tenant are pending.
 */
function isReclaimable(state: ClusterState, id: string): boolean {
    const { tenant } = getTask(state, id);
    const quota = state.tenants.get(tenant)?.quota ?? noResources;
    return findShortage(state.usedByTenant.get(tenant) ?? noResources, quota) !== undefined
        || [...state.pendingTasks].some(other =>
            getSpec(state, other).kind === "service" && getTask(state, other).tenant === tenant
        );
}

void test("evictions stay within the budget of any minute and affect only batch tasks that may be reclaimed", () => {
    fc.assert(
        fc.property(
            arbitraryState,
            settings,
            fc.array(fc.nat({ max: 40_000 }), { maxLength: 8 }),
            (state, section, gaps) => {
                const placer = createPlacer(section);
                let atMs = nowMs;
                const evictions = gaps.flatMap(gapMs => {
                    atMs += gapMs;
                    return placer.planPlacements(state, atMs).flatMap(decision =>
                        decision.kind === "requestEviction" ? [{ atMs, task: decision.task }] : []
                    );
                });
                for (const { atMs: endMs, task } of evictions) {
                    const within = evictions.filter(other => other.atMs > endMs - 60_000 && other.atMs <= endMs);
                    assert.ok(within.length <= section.evictionsPerMinute, `${within.length} evictions in a minute`);
                    assert.notEqual(getSpec(state, task).kind, "service");
                    assert.ok(isReclaimable(state, task), `${task} is within its quota`);
                }
            },
        ),
        parameters,
    );
});

void test("each decision addresses a task in a phase that allows it, once and with its current token", () => {
    fc.assert(
        fc.property(arbitraryState, settings, (state, section) => {
            const decisions = createPlacer(section).planPlacements(state, nowMs);
            const seen = new Set<string>();
            for (const decision of decisions) {
                if (decision.kind === "setAsideWorker") {
                    continue;
                }
                const task = getTask(state, decision.task);
                assert.ok(!seen.has(task.id), `two decisions for ${task.id}`);
                seen.add(task.id);
                switch (decision.kind) {
                    case "placeTask":
                        assert.equal(decision.previousToken, task.token);
                        assert.ok(task.phase === "pending" && task.notBeforeMs <= nowMs);
                        break;
                    case "rejectTask":
                        assert.equal(task.phase, "pending");
                        break;
                    case "requestEviction":
                    case "throttleTask":
                        assert.equal(decision.token, task.token);
                        assert.ok(task.phase === "running" || task.phase === "starting");
                        break;
                }
            }
        }),
        parameters,
    );
});

void test("the same input gives the same decisions, and the order of workers does not change the placements", () => {
    const reverse = <Key, Value>(map: ReadonlyMap<Key, Value>) => new Map([...map].reverse());
    fc.assert(
        fc.property(arbitraryState, settings, (state, section) => {
            const planOnce = (seen: ClusterState) => createPlacer(section).planPlacements(seen, nowMs);
            assert.deepEqual(planOnce(state), planOnce(state));
            const workersReversed = { ...state, workers: reverse(state.workers) };
            const placements = listPlacements(planOnce(state));
            assert.deepEqual(listPlacements(planOnce(workersReversed)), placements);
        }),
        parameters,
    );
});
