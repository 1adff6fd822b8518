import type { PlacementDecision, Placer } from "@chestnutspool/place-tasks";
import {
    addResources,
    type ClusterState,
    findShortage,
    type Resources,
    subtractResources,
    type TaskRecord,
    type WorkerId,
} from "@chestnutspool/types";

type ChooseWorker = (fitting: readonly { readonly id: WorkerId; readonly load: number; }[]) => WorkerId | undefined;

/** Places pending tasks in order of arrival by declared size, without rejection, mitigation or quotas. */
function createDeclaredSizePlacer(chooseWorker: ChooseWorker): Placer {
    const planTask = (
        state: ClusterState,
        task: TaskRecord,
        requested: Resources,
        used: Map<WorkerId, Resources>,
    ): PlacementDecision | undefined => {
        const fitting = [...state.workers.values()].filter(worker =>
            worker.admission === "open"
            && findShortage(requested, subtractResources(worker.capacity, used.get(worker.id) ?? worker.used))
                === undefined
        );
        const worker = chooseWorker(fitting.map(({ id, capacity, used: charged }) => ({
            id,
            load: (used.get(id) ?? charged).milliCpu / Math.max(1, capacity.milliCpu),
        })));
        if (worker === undefined) {
            return undefined;
        }
        const charged = used.get(worker) ?? state.workers.get(worker)?.used;
        used.set(worker, charged === undefined ? requested : addResources(charged, requested));
        return { kind: "placeTask", task: task.id, worker, previousToken: task.token };
    };
    return {
        recordReports: () => {},
        planPlacements: (state, nowMs) => {
            const used = new Map<WorkerId, Resources>();
            return [...state.pendingTasks].flatMap(id => {
                const task = state.tasks.get(id);
                const spec = task === undefined ? undefined : state.works.get(task.work)?.spec;
                return task === undefined || spec === undefined || task.notBeforeMs > nowMs
                    ? []
                    : planTask(state, task, spec.resources, used) ?? [];
            });
        },
    };
}

/** Baseline: the first worker that has room for the task. */
export function createFirstFitPlacer(): Placer {
    return createDeclaredSizePlacer(fitting => fitting[0]?.id);
}

/** Baseline: the worker with the smallest share of its processors charged. */
export function createLeastLoadedPlacer(): Placer {
    return createDeclaredSizePlacer(fitting => {
        let best = fitting[0];
        for (const candidate of fitting) {
            best = best === undefined || candidate.load < best.load ? candidate : best;
        }
        return best?.id;
    });
}
