import { createPlacer, type Placer } from "@chestnutspool/place-tasks";
import { findShortage } from "@chestnutspool/types";
import assert from "node:assert/strict";
import { test } from "node:test";
import { createFirstFitPlacer, createLeastLoadedPlacer } from "./baselines.js";
import { loadPlacementTrace, placementTraceNames } from "./load-trace.js";
import type { PlacementOutcome } from "./outcome.js";
import type { Replay } from "./replay-state.js";
import { replayPlacementTrace } from "./replay-trace.js";
import { userWeights } from "./user-weights.js";

/** Largest wait of a service task for its placement, from the targets of the design page, in milliseconds. */
const urgentStartLimitMs = 1400;

function replayNamed(
    name: string,
    placer: Placer,
    observe?: (replay: Replay, nowMs: number) => void,
): PlacementOutcome {
    return replayPlacementTrace(loadPlacementTrace(name).unsafeCoerce(), placer, observe);
}

/** No worker is charged for more than its capacity. */
function checkCapacity({ machine }: Replay): void {
    for (const worker of machine.state.workers.values()) {
        assert.equal(findShortage(worker.used, worker.capacity), undefined, worker.id);
    }
}

for (const { user, settings } of userWeights) {
    for (const name of placementTraceNames) {
        void test(`${name}, weights of ${user}: capacity, eviction budget and urgent start limit are kept`, () => {
            const outcome = replayNamed(name, createPlacer(settings), checkCapacity);
            assert.ok(
                outcome.evictionsPerMinute <= settings.evictionsPerMinute,
                `${outcome.evictionsPerMinute} a minute`,
            );
            assert.ok(outcome.urgentWaitP99Ms <= urgentStartLimitMs, `urgent wait ${outcome.urgentWaitP99Ms} ms`);
            assert.equal(outcome.urgentWaiting, 0);
            assert.equal(outcome.refused, 0, "no decision is refused when the state has not changed");
        });
    }

    void test(`rack-lost, weights of ${user}: at least half of each service survives the loss of one rack`, () => {
        assert.ok(replayNamed("rack-lost", createPlacer(settings)).leastServiceShare >= 0.5);
    });

    void test(`sizes-off, weights of ${user}: meets more deadlines and runs urgent tasks faster than baselines`, () => {
        const outcome = replayNamed("sizes-off", createPlacer(settings));
        for (const createBaseline of [createFirstFitPlacer, createLeastLoadedPlacer]) {
            const baseline = replayNamed("sizes-off", createBaseline());
            assert.ok(outcome.doneByDeadline > baseline.doneByDeadline);
            assert.ok(outcome.slowdownP50 < baseline.slowdownP50 && outcome.slowdownP99 < baseline.slowdownP99);
        }
    });

    void test(`bad-worker, weights of ${user}: every due job succeeds, and the repaired worker is used again`, () => {
        let isUsedAgain = false;
        const outcome = replayNamed("bad-worker", createPlacer(settings), ({ machine, failingWorkers }, nowMs) => {
            const isRepaired = failingWorkers.size === 0 && nowMs > 1_800_000_000_000 + 16 * 60_000;
            isUsedAgain ||= isRepaired && (machine.state.tasksByWorker.get("worker-02")?.size ?? 0) > 0;
        });
        assert.equal(outcome.doneByDeadline, outcome.dueTasks);
        assert.ok(isUsedAgain);
        // 32 cores have room for sixteen of the smallest tasks; after them, one probe follows each wait of the doubling
        // backoff in the 13 minutes.
        assert.ok(outcome.wastedStarts <= 16 + 5, `${outcome.wastedStarts} wasted starts`);
    });

    void test(`never-runs, weights of ${user}: a job too large for every worker is reported in its first pass`, () => {
        const { impossible, doneByDeadline, dueTasks } = replayNamed("never-runs", createPlacer(settings));
        assert.deepEqual(impossible.map(({ task, afterMs }) => [task, afterMs]), [["too-large/0", 0], [
            "too-large/1",
            0,
        ]]);
        assert.match(impossible[0]?.reason ?? "", /milliCpu/);
        assert.equal(doneByDeadline, dueTasks);
    });

    void test(`cancel-flood, weights of ${user}: 300 jobs cancelled at once make no other job late`, () => {
        const outcome = replayNamed("cancel-flood", createPlacer(settings));
        assert.equal(outcome.doneByDeadline, outcome.dueTasks);
    });

    void test(`borrowing, weights of ${user}: a guaranteed share returns as fast as the eviction budget allows`, () => {
        let hasLent = false;
        let returnedAtMs: number | undefined;
        const lenderArrivedAtMs = 1_800_000_000_000 + 12 * 60_000;
        const outcome = replayNamed("borrowing", createPlacer(settings), ({ machine }, nowMs) => {
            const used = machine.state.usedByTenant.get("hakata")?.milliCpu ?? 0;
            const quota = machine.state.tenants.get("hakata")?.quota.milliCpu ?? 0;
            hasLent ||= nowMs < lenderArrivedAtMs && used > quota;
            if (nowMs > lenderArrivedAtMs && returnedAtMs === undefined && used <= quota) {
                returnedAtMs = nowMs;
            }
        });
        assert.ok(hasLent, "unused share is lent");
        // At most 60% of 384 cores are lent; with three cores a task and ten evictions a minute they return in eight
        // minutes.
        assert.ok((returnedAtMs ?? Infinity) - lenderArrivedAtMs <= 8 * 60_000);
        assert.ok(outcome.doneByDeadline > replayNamed("borrowing", createLeastLoadedPlacer()).doneByDeadline);
    });
}

void test("noisy-waves: the user that favours tail latency has less slowdown, the other meets all deadlines", () => {
    const [moreno, hakata] = userWeights.map(({ settings }) => replayNamed("noisy-waves", createPlacer(settings)));
    assert.ok(moreno !== undefined && hakata !== undefined);
    assert.ok(moreno.slowdownP50 < hakata.slowdownP50);
    assert.equal(hakata.doneByDeadline, hakata.dueTasks);
    assert.ok(moreno.slowdownP50 < replayNamed("noisy-waves", createLeastLoadedPlacer()).slowdownP50);
});
