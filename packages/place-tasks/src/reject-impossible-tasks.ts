import { type ClusterState, findShortage, type Resources } from "@chestnutspool/types";
import type { PendingWork } from "./pending-works.js";
import type { PlacementPass } from "./placement-pass.js";

/** The resource of which no registered worker has enough; undefined when some worker could hold the task. */
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

/**
 * Rejects the tasks that no registered worker of any admission could hold, and returns the other works. A task that has
 * run before stays pending instead, because the worker that could hold it was lost and is expected back.
 */
export function rejectImpossibleTasks(pass: PlacementPass, works: readonly PendingWork[]): PendingWork[] {
    return works.filter(({ spec, tasks }) => {
        const shortage = findImpossibleResource(pass.state, spec.resources);
        if (shortage === undefined) {
            return true;
        }
        const reason = `needs ${spec.resources[shortage]} ${shortage}, which no registered worker offers`;
        for (const task of tasks) {
            if (task.token === 0) {
                pass.addDecision({ kind: "rejectTask", task: task.id, reason });
            }
        }
        return false;
    });
}
