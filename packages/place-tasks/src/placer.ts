import type { ClusterState, PlacementSection, TaskId } from "@chestnutspool/types";
import { createClaims } from "./claims.js";
import { createEvictionBudget } from "./eviction-budget.js";
import { createInFlightDecisions } from "./in-flight-decisions.js";
import { createInterferenceMitigator } from "./mitigate-interference.js";
import { observeReports, type PendingReports } from "./observe-reports.js";
import { sortPendingWorks } from "./order-works.js";
import { listPendingWorks } from "./pending-works.js";
import { placePendingWorks } from "./place-pending-works.js";
import type { PlacementDecision, Placer } from "./placement-decision.js";
import type { PlacementPass, PlacerMemory } from "./placement-pass.js";
import { rejectImpossibleTasks } from "./reject-impossible-tasks.js";
import { createRunTimeModel } from "./run-time-model.js";
import { createSetAsidePolicy } from "./set-aside-policy.js";
import { createSlowdownModel } from "./slowdown-model.js";
import { createTenantShares } from "./tenant-shares.js";
import { createUsageModel } from "./usage-model.js";
import { createWorkerViews } from "./worker-views.js";

function observeEndedTask(memory: PlacerMemory, state: ClusterState, id: TaskId): void {
    const task = state.tasks.get(id);
    const spec = task === undefined ? undefined : state.works.get(task.work)?.spec;
    if (task?.phase === "succeeded" && spec?.kind === "job") {
        memory.runTimes.observeRun(spec, task);
    }
}

/** Updates the memory from the state and opens a pass. */
function openPass(
    memory: PlacerMemory,
    state: ClusterState,
    nowMs: number,
    decisions: PlacementDecision[],
): PlacementPass {
    const { inFlight, views, claims, budget } = memory;
    const dropped = inFlight.dropSettled(state, nowMs);
    const placements = inFlight.listPlacements();
    views.updateViews(state, placements, dropped, id => observeEndedTask(memory, state, id));
    claims.dropStaleClaims(state, nowMs);
    budget.updateBudget(state, nowMs);
    const shares = createTenantShares(state);
    for (const { task } of placements) {
        const spec = state.works.get(state.tasks.get(task)?.work ?? "")?.spec;
        if (spec !== undefined) {
            shares.addUse(spec.tenant, spec.resources);
        }
    }
    return {
        memory,
        state,
        nowMs,
        usable: [],
        probation: new Set(),
        costs: new Map(),
        shares,
        addDecision: decision => {
            decisions.push(decision);
            inFlight.addDecision(decision, nowMs);
        },
    };
}

/** Creates a placer with empty memory. */
export function createPlacer(settings: PlacementSection): Placer {
    const memory: PlacerMemory = {
        settings,
        inFlight: createInFlightDecisions(),
        views: createWorkerViews(),
        claims: createClaims(),
        budget: createEvictionBudget(settings.evictionsPerMinute),
        setAside: createSetAsidePolicy(),
        placementRetryAtMs: new Map(),
        reclaimRetryAtMs: new Map(),
        runTimes: createRunTimeModel(),
        usage: createUsageModel(),
        slowdowns: createSlowdownModel(),
        mitigator: createInterferenceMitigator(),
    };
    const reports: PendingReports = new Map();
    return {
        recordReports: arrived => {
            for (const report of arrived) {
                reports.set(report.worker, report);
            }
        },
        planPlacements: (state, nowMs) => {
            const decisions: PlacementDecision[] = [];
            const pass = openPass(memory, state, nowMs, decisions);
            observeReports(memory, state, reports);
            const setAsideDecisions = memory.setAside.planSetAside(state, memory.inFlight, nowMs);
            setAsideDecisions.forEach(pass.addDecision);
            const usable = memory.views.listViews().filter(view =>
                memory.setAside.isUsable(view) && !state.evacuatedZones.has(view.record.availabilityZone)
                && !memory.inFlight.hasWorker(view.record.id)
            );
            const probation = new Set(usable.filter(memory.setAside.isOnProbation));
            const works = rejectImpossibleTasks(pass, listPendingWorks(state, memory.inFlight, nowMs));
            placePendingWorks({ ...pass, usable, probation }, sortPendingWorks(works, memory.runTimes, nowMs));
            memory.mitigator.planMitigations(pass);
            return decisions;
        },
    };
}
