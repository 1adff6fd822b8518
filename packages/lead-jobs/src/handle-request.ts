import {
    countJobsToMove,
    estimateJobBytes,
    findQueue,
    formatQueueKey,
    isJobEnded,
    isJobOfRequest,
    isJobPath,
    isQueuePath,
    isSubmissionCancelled,
    type JobRecord,
} from "@chestnutspool/job-state";
import {
    describeJobRequest,
    type ErrorData,
    type JobId,
    type JobReply,
    type JobRequest,
    type JobResult,
    type MaintenanceWave,
    type QueueConfiguration,
    type QueueSettings,
    readMonotonicMs,
} from "@chestnutspool/types";
import { Effect } from "effect";
import {
    canBeRecorded,
    forgetProposal,
    recordAcceptance,
    recordProposal,
    refuseForRoom,
    refuseJob,
} from "./admission.js";
import { checkConfiguration } from "./check-configuration.js";
import { checkJob } from "./check-job.js";
import { findJobUrgency } from "./job-urgency.js";
import { readShownPhase } from "./record-begun-jobs.js";
import { recordHeartbeat, removeWorker } from "./record-heartbeat.js";
import { readTermMs } from "./steady-clock.js";
import { propose, type Term, wakePlanner } from "./term.js";

type RequestOf<Kind extends JobRequest["kind"]> = Extract<JobRequest, { readonly kind: Kind; }>;

/** Finds the queue of a request for a job; undefined unless the path is the prefix of a queue and the id. */
function findJobQueue(
    term: Term,
    { hostName, path }: RequestOf<"submitJob" | "readJob" | "cancelJob">,
    id: JobId,
): QueueSettings | undefined {
    const queue = findQueue(term.machine.state.configuration, hostName, path);
    return queue !== undefined && isJobPath(queue, path, id) ? queue : undefined;
}

/** Finds the job of a request; undefined if the queue of the request does not exist or has no job with this id. */
function findJob(term: Term, request: RequestOf<"readJob" | "cancelJob">): JobRecord | undefined {
    const job = term.machine.state.jobs.get(request.job);
    return job !== undefined && hasQueue(term, request) && isJobOfRequest(job, request) ? job : undefined;
}

function hasQueue(term: Term, request: RequestOf<"readJob" | "cancelJob">): boolean {
    return findJobQueue(term, request, request.job) !== undefined;
}

function convertResult(result: JobResult): JobReply {
    switch (result.kind) {
        case "accepted":
            return { kind: "accepted" };
        case "otherQueue":
        case "cancelled":
            return { kind: "rejected", reason: result.kind, retryAfterMs: undefined };
        case "noQueue":
        case "noJob":
            return { kind: result.kind };
        case "done":
        case "started":
            return { kind: "done" };
        case "configuration":
            return { kind: "configuration", version: result.version, document: undefined };
    }
}

function logRefusedJob(
    term: Term,
    { spec, hostName, path }: RequestOf<"submitJob">,
    refusal: "otherQueue" | "cancelled",
): void {
    const { state } = term.machine;
    const queue = findQueue(state.configuration, hostName, path);
    const owner = state.jobs.get(spec.id)?.queue.name;
    term.metrics.countEvent("jobs.refused", queue?.name ?? "", queue?.service ?? "");
    term.logger.info("job refused", { job: spec.id, queue: queue?.name, refusal, owner });
}

const submitJob = Effect.fnUntraced(function*(term: Term, request: RequestOf<"submitJob">) {
    const { spec, hostName, path } = request;
    const { state } = term.machine;
    if (!canBeRecorded(term, request)) {
        const queue = findJobQueue(term, request, spec.id);
        if (queue === undefined) {
            term.logger.info("job has no queue", {
                job: spec.id,
                host: hostName,
                path,
                configuration: state.configuration?.version,
            });
            return { kind: "noQueue" } satisfies JobReply;
        }
        if (!state.jobs.has(spec.id) && isSubmissionCancelled(state, request)) {
            logRefusedJob(term, request, "cancelled");
            return convertResult({ kind: "cancelled" });
        }
        const refusal = checkJob(state, spec, queue);
        if (refusal !== undefined) {
            term.metrics.countEvent("jobs.refused", queue.name, queue.service);
            term.logger.info("job refused", {
                job: spec.id,
                queue: queue.name,
                refusal: refusal.kind,
                detail: refusal.kind === "invalid" ? refusal.detail : undefined,
                configuration: state.configuration?.version,
                workers: state.workers.size,
            });
            return refusal;
        }
        // Decided before any commit, so that a refusal costs the leader next to nothing.
        const nowMs = yield* readMonotonicMs;
        const wallMs = yield* readTermMs(term);
        const overload = refuseForRoom(term, spec, queue, wallMs) ?? refuseJob(term, spec, queue, nowMs, wallMs);
        if (overload !== undefined) {
            return overload;
        }
    }
    recordProposal(term, request);
    const jobBytes = estimateJobBytes(spec);
    term.admission.proposedBytes += jobBytes;
    const result = yield* Effect.ensuring(
        propose(term, { kind: "submitJob", spec, hostName, path }),
        Effect.sync(() => {
            term.admission.proposedBytes -= jobBytes;
        }),
    );
    forgetProposal(term, request);
    if (result.kind === "accepted" && !result.isRepeat) {
        recordAcceptance(term, spec.id, yield* readMonotonicMs, yield* readTermMs(term));
        const queue = state.jobs.get(spec.id)?.queue;
        term.metrics.countEvent("jobs.accepted", queue?.name ?? "", queue?.service ?? "");
        term.logger.info("job accepted", {
            job: spec.id,
            queue: queue?.name,
            pool: queue?.service,
            steps: spec.steps.length,
            tasks: spec.steps.reduce((sum, step) => sum + step.count, 0),
            openJobs: state.openJobs.size,
            configuration: state.configuration?.version,
            term: term.number,
        });
    }
    if (result.kind === "otherQueue" || result.kind === "cancelled") {
        logRefusedJob(term, request, result.kind);
    }
    wakePlanner(term, findJobUrgency(term, spec.id));
    return convertResult(result);
});

/**
 * Finds the job to cancel. If there is none, the cancellation is recorded, because the submission may still be on its way to the
 * leader, or proposed and not committed yet.
 */
const findJobToCancel = Effect.fnUntraced(function*(term: Term, request: RequestOf<"cancelJob">) {
    const { job, hostName, path } = request;
    const found = findJob(term, request);
    if (found !== undefined || !hasQueue(term, request)) {
        return found;
    }
    yield* propose(term, { kind: "cancelSubmission", job, hostName, path });
    return findJob(term, request);
});

const cancelJob = Effect.fnUntraced(function*(term: Term, request: RequestOf<"cancelJob">) {
    const found = yield* findJobToCancel(term, request);
    if (found === undefined) {
        const isKnownQueue = hasQueue(term, request);
        term.logger.info("job to cancel is not known", {
            job: request.job,
            host: request.hostName,
            path: request.path,
            isKnownQueue,
        });
        return isKnownQueue ? { kind: "noJob" } as const : { kind: "noQueue" } as const;
    }
    const before = found.phase;
    // An ended job may be forgotten, and its id used by another queue, before a command that names only the id is applied.
    if (isJobEnded(found)) {
        return { kind: "done" } as const;
    }
    const result = yield* propose(term, { kind: "cancelJob", job: request.job });
    term.logger.info("job cancelled", { job: request.job, before, runs: found.runsInProgress });
    wakePlanner(term);
    return convertResult(result);
});

function readJob(term: Term, request: RequestOf<"readJob">): JobReply {
    const job = findJob(term, request);
    if (job !== undefined) {
        const { failure } = job;
        const phase = readShownPhase(term, job);
        return failure === undefined ? { kind: "phase", phase } : { kind: "phase", phase, failure };
    }
    return hasQueue(term, request) ? { kind: "noJob" } : { kind: "noQueue" };
}

function countPending(term: Term, request: RequestOf<"countPending">): JobReply {
    const queue = findQueue(term.machine.state.configuration, request.hostName, request.path);
    if (queue === undefined || !isQueuePath(queue, request.path)) {
        return { kind: "noQueue" };
    }
    const key = formatQueueKey(queue);
    let count = 0;
    for (const job of term.machine.state.openJobs.values()) {
        count += readShownPhase(term, job) === "queued" && formatQueueKey(job.queue) === key ? 1 : 0;
    }
    return { kind: "pending", count };
}

/** Lists the queues of a configuration that had another service in the earlier one. */
function listMovedQueues(earlier: QueueConfiguration | undefined, { queues }: QueueConfiguration): QueueSettings[] {
    const services = new Map(earlier?.queues.map(queue => [formatQueueKey(queue), queue.service]));
    return queues.filter(queue => (services.get(formatQueueKey(queue)) ?? queue.service) !== queue.service);
}

const setConfiguration = Effect.fnUntraced(function*(term: Term, request: RequestOf<"setConfiguration">) {
    const { configuration } = request;
    // Checked before the version, because an invalid configuration must not be acknowledged even if it is outdated.
    const fault = checkConfiguration(configuration);
    if (fault !== undefined) {
        term.logger.warn("configuration refused", { version: configuration.version, fault });
        return { kind: "invalid", detail: fault } satisfies JobReply;
    }
    const earlier = term.machine.state.configuration;
    const currentVersion = earlier?.version;
    if (currentVersion !== undefined && configuration.version <= currentVersion) {
        // The reply waits until a quorum confirms this leader, because only then is the version certainly committed.
        yield* term.log.confirmRead;
        return { kind: "configuration", version: currentVersion, document: undefined } satisfies JobReply;
    }
    const result = yield* propose(term, { kind: "setConfiguration", configuration });
    term.logger.info("configuration in force", {
        version: result.kind === "configuration" ? result.version : 0,
        sent: configuration.version,
        queues: configuration.queues.length,
    });
    const moved = listMovedQueues(earlier, configuration);
    if (moved.length > 0) {
        term.logger.info("queues have another service", {
            queues: moved.length,
            first: moved[0]?.name,
            service: moved[0]?.service,
            jobsToMove: countJobsToMove(term.machine.state),
        });
    }
    wakePlanner(term);
    return convertResult(result);
});

const readConfiguration = Effect.fnUntraced(function*(term: Term) {
    yield* term.log.confirmRead;
    const { configuration } = term.machine.state;
    return {
        kind: "configuration",
        version: configuration?.version ?? 0,
        document: configuration?.document,
    } satisfies JobReply;
});

function isSameWave(left: MaintenanceWave, right: MaintenanceWave): boolean {
    return left.durationMs === right.durationMs && left.hostsAtOnce === right.hostsAtOnce
        && left.hosts.length === right.hosts.length
        && left.hosts.every((host, position) => host === right.hosts[position]);
}

const startWave = Effect.fnUntraced(function*(term: Term, { wave }: RequestOf<"startWave">) {
    const result = yield* propose(term, { kind: "startWave", wave });
    const recorded = term.machine.state.waves.get(wave.wave)?.wave;
    if (recorded !== undefined && !isSameWave(recorded, wave)) {
        term.logger.warn("wave refused", {
            wave: wave.wave,
            hosts: wave.hosts.length,
            recorded: recorded.hosts.length,
        });
        return { kind: "invalid", detail: `wave ${wave.wave} was started with other content` } satisfies JobReply;
    }
    return convertResult(result);
});

function isKnownZone({ machine, limits }: Term, availabilityZone: string): boolean {
    if (limits.availabilityZones.includes(availabilityZone) || machine.state.evacuatedZones.has(availabilityZone)) {
        return true;
    }
    for (const { info } of machine.state.workers.values()) {
        if (info.availabilityZone === availabilityZone) {
            return true;
        }
    }
    return false;
}

const setZoneAdmission = Effect.fnUntraced(function*(term: Term, request: RequestOf<"setZoneAdmission">) {
    const { availabilityZone, isEvacuated } = request;
    if (!isKnownZone(term, availabilityZone)) {
        term.logger.warn("order for an unknown availability zone", { zone: availabilityZone, isEvacuated });
        return { kind: "invalid", detail: `there is no availability zone "${availabilityZone}"` } satisfies JobReply;
    }
    const wasEvacuated = term.machine.state.evacuatedZones.has(availabilityZone);
    // A repeated order is committed too, because the opposite order may be proposed and not committed yet.
    yield* propose(term, request);
    const workers = [...term.machine.state.workers.values()].filter(({ info }) =>
        info.availabilityZone === availabilityZone
    );
    term.logger.info(isEvacuated ? "availability zone is evacuated" : "availability zone is in use again", {
        zone: availabilityZone,
        wasEvacuated,
        workers: workers.length,
        runs: workers.reduce((sum, { runs }) => sum + runs.size, 0),
    });
    wakePlanner(term);
    return { kind: "done" } satisfies JobReply;
});

/** Whether the reply depends on the queues of the configuration. */
function needsQueue({ kind }: JobRequest): boolean {
    return kind === "submitJob" || kind === "readJob" || kind === "cancelJob" || kind === "countPending";
}

function handleByKind(term: Term, request: JobRequest): Effect.Effect<JobReply, ErrorData> {
    if (needsQueue(request) && term.machine.state.configuration === undefined) {
        return Effect.succeed({ kind: "notConfigured" });
    }
    switch (request.kind) {
        case "submitJob":
            return submitJob(term, request);
        case "cancelJob":
            return cancelJob(term, request);
        case "readJob":
            return Effect.sync(() => readJob(term, request));
        case "countPending":
            return Effect.sync(() => countPending(term, request));
        case "setConfiguration":
            return setConfiguration(term, request);
        case "readConfiguration":
            return readConfiguration(term);
        case "recordHeartbeat":
            return recordHeartbeat(term, request.heartbeat);
        case "removeWorker":
            return removeWorker(term, request);
        case "startWave":
            return startWave(term, request);
        case "setZoneAdmission":
            return setZoneAdmission(term, request);
        case "readWave":
            return Effect.sync(() => readWave(term, request));
    }
}

function readWave(term: Term, request: RequestOf<"readWave">): JobReply {
    const wave = term.machine.state.waves.get(request.wave);
    if (wave === undefined) {
        return { kind: "noWave" };
    }
    return { kind: "wave", isComplete: wave.wave.hosts.every(host => wave.begun.has(host)) };
}

/** Whether a reply tells the caller that something does not exist, or that a job was not accepted. */
function isDenial({ kind }: JobReply): boolean {
    return kind === "noJob" || kind === "noQueue" || kind === "rejected" || kind === "notConfigured"
        || kind === "noWave";
}

/**
 * Handles a request. A denial is confirmed by a majority: a process that was suspended may still believe that it leads, and
 * does not know what a later leader has accepted meanwhile.
 */
const handleConfirmed = Effect.fnUntraced(function*(term: Term, request: JobRequest) {
    const reply = yield* handleByKind(term, request);
    if (isDenial(reply)) {
        yield* term.log.confirmRead;
    }
    return reply;
});

function convertError(term: Term, request: JobRequest, error: ErrorData): JobReply {
    if (error.kind === "notLeader") {
        return { kind: "notLeader", leader: undefined };
    }
    term.logger.warn("outcome of a request is unknown", { ...describeJobRequest(request), error: error.kind });
    return { kind: "outcomeUnknown" };
}

/**
 * Answers a request in an open term. The reply is `outcomeUnknown` if the command may have been appended to the log.
 */
export function handleInTerm(term: Term, request: JobRequest): Effect.Effect<JobReply> {
    return Effect.catch(
        handleConfirmed(term, request),
        (error: ErrorData) => Effect.sync(() => convertError(term, request, error)),
    );
}
