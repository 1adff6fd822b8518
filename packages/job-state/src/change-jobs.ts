import type { JobCommand, JobId, JobResult, QueueConfiguration, QueueSettings } from "@chestnutspool/types";
import { closeEndedJob } from "./change-runs.js";
import { createJob } from "./create-job.js";
import { cancellationBytes, closedJobBytes } from "./estimate-sizes.js";
import { updateHeldConfiguration, updateHeldJob } from "./held-jobs.js";
import { isJobEnded, type JobRecord, type JobState } from "./job-state.js";
import { moveJobs, recordServices } from "./queue-services.js";

type CommandOf<Kind extends JobCommand["kind"]> = Extract<JobCommand, { readonly kind: Kind; }>;

/**
 * Time after its end for which a closed job stays readable, in milliseconds; twice the longest time that a deployment
 * asks for. Older jobs are removed when the next new job is accepted.
 */
const closedJobRetentionMs = 600_000;
/** Maximum number of closed jobs that are kept, so that a burst of short jobs does not exhaust the memory. */
const closedJobLimit = 50_000;
/**
 * Time for which a submission is refused after its job was cancelled, in milliseconds; as long as the record of a job that was
 * accepted first and then cancelled is kept.
 */
const cancelledRetentionMs = closedJobRetentionMs;
/** Maximum number of such cancellations, so that clients that cancel unknown jobs do not exhaust the memory. */
const cancelledLimit = 50_000;

/** Finds the queue of the host name with the longest path that is a prefix of `path`; undefined when there is none. */
export function findQueue(
    configuration: QueueConfiguration | undefined,
    hostName: string,
    path: string,
): QueueSettings | undefined {
    let best: QueueSettings | undefined;
    for (const queue of configuration?.queues ?? []) {
        const matches = queue.hostName === hostName && path.startsWith(queue.path);
        if (matches && (best === undefined || queue.path.length > best.path.length)) {
            best = queue;
        }
    }
    return best;
}

/** Host name and path of a request. */
type RequestTarget = Pick<QueueSettings, "hostName" | "path">;

/** Prefix of the paths of a queue's jobs: the path of the queue, which may lack its last slash. */
function formatPrefix({ path }: RequestTarget): string {
    return path.endsWith("/") ? path : `${path}/`;
}

/** Whether a path is that of a queue, and not one below it. */
export function isQueuePath(queue: RequestTarget, path: string): boolean {
    return path === queue.path || path === formatPrefix(queue);
}

/** Whether a path is that of the job with this id in a queue: the prefix of the queue and the id. */
export function isJobPath(queue: RequestTarget, path: string, id: JobId): boolean {
    return path === `${formatPrefix(queue)}${id}`;
}

/** Whether a request names this job and not one with the same id in another queue. */
export function isJobOfRequest(job: JobRecord, { hostName, path }: RequestTarget): boolean {
    return job.queue.hostName === hostName && isJobPath(job.queue, path, job.id);
}

/** Key of the job of a request, known or not: the path of a job names its queue and its id. */
export function formatJobKey({ hostName, path }: RequestTarget): string {
    return `${hostName} ${path}`;
}

function isCancellationOld(cancelledAtMs: number, nowMs: number): boolean {
    return nowMs - cancelledAtMs > cancelledRetentionMs;
}

function isClosedJobOld(job: JobRecord | undefined, nowMs: number): boolean {
    return nowMs - (job?.endedAtMs ?? 0) > closedJobRetentionMs;
}

/** Whether the job of a submission was cancelled before the submission arrived. */
export function isSubmissionCancelled(state: JobState, submission: RequestTarget): boolean {
    const cancelledAtMs = state.cancelledSubmissions.get(formatJobKey(submission));
    return cancelledAtMs !== undefined && !isCancellationOld(cancelledAtMs, state.clockMs);
}

function removeCancellation(state: JobState, target: string): void {
    if (state.cancelledSubmissions.delete(target)) {
        state.heldBytes -= cancellationBytes;
    }
}

function forgetOldCancellations(state: JobState): void {
    const { cancelledSubmissions, clockMs } = state;
    for (const [target, cancelledAtMs] of cancelledSubmissions) {
        if (!isCancellationOld(cancelledAtMs, clockMs) && cancelledSubmissions.size <= cancelledLimit) {
            return;
        }
        removeCancellation(state, target);
    }
}

/**
 * Estimates the memory that the next new job makes free, in bytes: of closed jobs and cancellations that are too old at `nowMs`,
 * wall-clock time in milliseconds. They are removed by its command.
 */
export function estimateOldBytes(state: JobState, nowMs: number): number {
    let bytes = 0;
    for (const id of state.closedJobs) {
        if (!isClosedJobOld(state.jobs.get(id), nowMs)) {
            break;
        }
        bytes += closedJobBytes;
    }
    for (const cancelledAtMs of state.cancelledSubmissions.values()) {
        if (!isCancellationOld(cancelledAtMs, nowMs)) {
            break;
        }
        bytes += cancellationBytes;
    }
    return bytes;
}

function forgetOldJobs(state: JobState): void {
    for (const id of state.closedJobs) {
        const job = state.jobs.get(id);
        if (!isClosedJobOld(job, state.clockMs) && state.closedJobs.size <= closedJobLimit) {
            return;
        }
        state.closedJobs.delete(id);
        state.jobs.delete(id);
        if (job !== undefined) {
            updateHeldJob(state, job);
        }
    }
}

/**
 * Adds a job under its id. Submitting a known job again changes nothing. Names of tasks do not name the queue, so that a job is
 * refused while another queue has one with its id. Replicas of earlier builds do not change their state in this case either.
 */
export function submitJob(state: JobState, command: CommandOf<"submitJob">): JobResult {
    const { spec } = command;
    const known = state.jobs.get(spec.id);
    if (known !== undefined) {
        return isJobOfRequest(known, command) ? { kind: "accepted", isRepeat: true } : { kind: "otherQueue" };
    }
    if (isSubmissionCancelled(state, command)) {
        return { kind: "cancelled" };
    }
    const queue = findQueue(state.configuration, command.hostName, command.path);
    if (queue === undefined) {
        return { kind: "noQueue" };
    }
    forgetOldJobs(state);
    forgetOldCancellations(state);
    const job = createJob(spec, queue, state.clockMs);
    state.jobs.set(job.id, job);
    state.openJobs.set(job.id, job);
    updateHeldJob(state, job);
    return { kind: "accepted", isRepeat: false };
}

/** Ends a job as cancelled, or as failed if it is given up; the leader stops its runs. A job that has already ended is not changed. */
export function cancelJob(state: JobState, command: CommandOf<"cancelJob">): JobResult {
    const job = state.jobs.get(command.job);
    if (job === undefined) {
        return { kind: "noJob" };
    }
    if (!isJobEnded(job)) {
        job.phase = command.failure === undefined ? "cancelled" : "failed";
        job.failure = command.failure;
        job.endedAtMs = state.clockMs;
        closeEndedJob(state, job);
    }
    return { kind: "done" };
}

/** Records that a job was cancelled that is not known. A job whose submission was applied first is left to `cancelJob`. */
export function cancelSubmission(state: JobState, command: CommandOf<"cancelSubmission">): JobResult {
    const known = state.jobs.get(command.job);
    if (known !== undefined && isJobOfRequest(known, command)) {
        return { kind: "done" };
    }
    const target = formatJobKey(command);
    // Removed first, so that the latest cancellation is the last one.
    removeCancellation(state, target);
    state.cancelledSubmissions.set(target, state.clockMs);
    state.heldBytes += cancellationBytes;
    forgetOldCancellations(state);
    return { kind: "noJob" };
}

/**
 * Installs a configuration if its version is higher than the current one; returns the version that is then current. Open jobs of a
 * queue with another service move to it.
 */
export function setConfiguration(state: JobState, configuration: QueueConfiguration): JobResult {
    const currentVersion = state.configuration?.version;
    if (currentVersion === undefined || configuration.version > currentVersion) {
        updateHeldConfiguration(state, state.configuration, configuration);
        state.configuration = configuration;
        recordServices(state, configuration);
        moveJobs(state);
    }
    return { kind: "configuration", version: state.configuration?.version ?? configuration.version };
}
