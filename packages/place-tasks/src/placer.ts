import {
    type ClusterState,
    findShortage,
    type PlacementSection,
    type Resources,
    type TaskId,
} from "@chestnutspool/types";
import type { PlacementDecision, Placer } from "./decision.js";
import { createInFlightDecisions } from "./in-flight.js";
import { sortPendingWorks } from "./order-works.js";
import { listPendingWorks, type PendingWork } from "./pending.js";
import { createRunTimeModel } from "./run-time-model.js";
import { createSetAsidePolicy, isWorkerUsable } from "./set-aside.js";
import { addSeatedTask, buildSeatedTask, createWorkerViews, hasRoom, type WorkerView } from "./worker-views.js";

/** The resource of which no registered worker has enough for the task; undefined when some worker could hold it. */
function findImpossibleResource(state: ClusterState, wanted: Resources): keyof Resources | undefined {
    let shortage: keyof Resources | undefined;
    for (const worker of state.workers.values()) {
        const found = findShortage(wanted, worker.capacity);
        if (found === undefined) {
            return undefined;
        }
        shortage = found;
    }
    return shortage;
}

function planRejections(pending: PendingWork, shortage: keyof Resources): PlacementDecision[] {
    const wanted = pending.spec.resources[shortage];
    const reason = `needs ${wanted} ${shortage}, which no registered worker offers`;
    return pending.tasks.filter(task => task.token === 0)
        .map(task => ({ kind: "rejectTask", task: task.id, reason }));
}

function planFirstFit(
    pending: PendingWork,
    views: readonly WorkerView[],
): PlacementDecision[] {
    const decisions: PlacementDecision[] = [];
    for (const task of pending.tasks) {
        const view = views.find(candidate => isWorkerUsable(candidate) && hasRoom(candidate, pending.spec.resources));
        if (view === undefined) {
            break;
        }
        addSeatedTask(view, buildSeatedTask(task.id, pending.spec, pending.spec.resources));
        decisions.push({ kind: "placeTask", task: task.id, worker: view.record.id, previousToken: task.token });
    }
    return decisions;
}

/** Creates a placer with empty memory. */
export const createPlacer: (settings: PlacementSection) => Placer = () => {
    const inFlight = createInFlightDecisions();
    const workerViews = createWorkerViews();
    const setAside = createSetAsidePolicy();
    const runTimes = createRunTimeModel();
    const observeLeft = (state: ClusterState) => (id: TaskId): void => {
        const task = state.tasks.get(id);
        const spec = task === undefined ? undefined : state.works.get(task.work)?.spec;
        if (task?.phase === "succeeded" && spec?.kind === "job") {
            runTimes.observeRun(spec, task);
        }
    };
    return {
        recordReports: () => {},
        planPlacements: (state, nowMs) => {
            const dropped = inFlight.dropSettled(state, nowMs);
            workerViews.updateViews(state, inFlight.listPlacements(), dropped, observeLeft(state));
            const decisions: PlacementDecision[] = [...setAside.planSetAside(state, inFlight, nowMs)];
            const excluded = new Set(
                decisions.flatMap(decision => decision.kind === "setAsideWorker" ? [decision.worker] : []),
            );
            const usable = workerViews.listViews().filter(({ record }) =>
                !excluded.has(record.id) && !inFlight.hasWorker(record.id)
            );
            const works = sortPendingWorks(listPendingWorks(state, inFlight, nowMs), runTimes, nowMs);
            for (const pending of works) {
                const shortage = findImpossibleResource(state, pending.spec.resources);
                decisions.push(
                    ...shortage === undefined
                        ? planFirstFit(pending, usable)
                        : planRejections(pending, shortage),
                );
            }
            for (const decision of decisions) {
                inFlight.addDecision(decision, nowMs);
            }
            return decisions;
        },
    };
};
