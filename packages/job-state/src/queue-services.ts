import { findShortage, type QueueConfiguration, type QueueSettings, type StepSpec } from "@chestnutspool/types";
import {
    acceptsStarts,
    computeReservation,
    isJobEnded,
    type JobRecord,
    type JobState,
    type WorkerState,
} from "./job-state.js";

/** Key of a queue in `servicesByQueue`. */
export function formatQueueKey(queue: Pick<QueueSettings, "hostName" | "path">): string {
    return `${queue.hostName} ${queue.path}`;
}

/** Whether a worker could run a task of the step if the worker were empty and had the largest capacity that it has had. */
export function canWorkerRun({ info, largestCapacity }: WorkerState, spec: StepSpec): boolean {
    const hasLabel = spec.requiredLabel === undefined || info.labels.includes(spec.requiredLabel);
    return hasLabel && findShortage(computeReservation(spec), largestCapacity) === undefined;
}

/** Records the services of the queues of a configuration as the latest ones. */
export function recordServices(state: JobState, configuration: QueueConfiguration): void {
    for (const queue of configuration.queues) {
        const key = formatQueueKey(queue);
        const services = state.servicesByQueue.get(key) ?? new Set();
        // Removed first, so that a service to which the queue returns is the last one again.
        services.delete(queue.service);
        services.add(queue.service);
        state.servicesByQueue.set(key, services);
    }
}

/** Finds the service that a queue was last configured with; undefined unless it has had several. */
function findLatestService({ servicesByQueue }: JobState, queue: QueueSettings): string | undefined {
    const services = servicesByQueue.get(formatQueueKey(queue));
    return services === undefined || services.size < 2 ? undefined : [...services].at(-1);
}

/** Whether a worker of the service takes starts and could run a task of the step. */
function hasWorkerFor(state: JobState, service: string, spec: StepSpec): boolean {
    for (const worker of state.workers.values()) {
        if (worker.info.service === service && acceptsStarts(state, worker) && canWorkerRun(worker, spec)) {
            return true;
        }
    }
    return false;
}

/** Whether the service has a worker for each step that is left. */
function canServiceRun(
    state: JobState,
    service: string,
    { changedUntil, definition, occurrences }: JobRecord,
): boolean {
    const isLeft = (position: number): boolean =>
        changedUntil < definition.occurrences
        || [...occurrences.values()].some(({ steps }) => (steps[position]?.tasksLeft ?? 0) > 0);
    return definition.steps.every((spec, position) => !isLeft(position) || hasWorkerFor(state, service, spec));
}

/**
 * Moves an open job to the service that its queue was last configured with. A job whose steps no worker of it can run yet stays
 * with the earlier service, which may still have workers. Runs in progress go on where they are.
 */
export function moveJob(state: JobState, job: JobRecord): void {
    const service = findLatestService(state, job.queue);
    const isBehind = service !== undefined && service !== job.queue.service && !isJobEnded(job);
    if (isBehind && canServiceRun(state, service, job)) {
        job.queue = { ...job.queue, service };
    }
}

/**
 * Moves the open jobs after a change that may let another service run them. Replicas of earlier builds move none; one that is
 * upgraded does so when it restores their snapshot.
 */
export function moveJobs(state: JobState): void {
    for (const job of hasMovedQueues(state) ? state.openJobs.values() : []) {
        moveJob(state, job);
    }
}

function hasMovedQueues({ servicesByQueue }: JobState): boolean {
    return [...servicesByQueue.values()].some(services => services.size > 1);
}

/** Counts the open jobs that are still with an earlier service of their queue. */
export function countJobsToMove(state: JobState): number {
    let count = 0;
    for (const { queue } of hasMovedQueues(state) ? state.openJobs.values() : []) {
        count += (findLatestService(state, queue) ?? queue.service) === queue.service ? 0 : 1;
    }
    return count;
}
