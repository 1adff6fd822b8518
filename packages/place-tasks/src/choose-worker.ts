import { hasRoomFor, type Pass } from "./pass.js";
import { isWorkerUsable } from "./set-aside.js";
import type { SeatedTask, WorkerView } from "./worker-views.js";

/** The worker on which a task should start; undefined when it fits on none. */
export function chooseWorker(pass: Pass, task: SeatedTask): WorkerView | undefined {
    return pass.usable.find(view => isWorkerUsable(view) && hasRoomFor(pass, view, task));
}
