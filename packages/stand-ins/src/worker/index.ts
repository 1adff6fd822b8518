export { parseTaskBehaviour, type TaskBehaviour } from "./behaviour.js";
export { type StandInWorkerOptions, startStandInWorker, type WorkerApi } from "./stand-in-worker.js";
export type { AttemptEnd, TaskEvent } from "./task-event.js";
export { parseCheckpoint } from "./worker-tasks.js";
