import {
    type Backlog,
    createBacklogEntry,
    createLeaderBusyness,
    createThroughput,
    decideAdmission,
    decideRoom,
    type LeaderBusyness,
    listBacklog,
    recordAccepted,
    recordEnded,
    recordPoolState,
    recordStarted,
    type Throughput,
} from "@chestnutspool/admit-jobs";
import {
    acceptsStarts,
    createDueOccurrences,
    estimateJobBytes,
    estimateOldBytes,
    formatJobKey,
    isJobOfRequest,
    type JobState,
} from "@chestnutspool/job-state";
import { findUrgency } from "@chestnutspool/plan-jobs";
import { isRationed, readRationedRate } from "@chestnutspool/ration-leader-time";
import {
    addResources,
    type JobCommand,
    type JobDefinition,
    type JobId,
    type JobReply,
    type JobRequest,
    type JobResult,
    type QueueSettings,
    type Resources,
    type StepSpec,
} from "@chestnutspool/types";
import type { Term, WithoutTime } from "./term.js";

/** Interval at which the waiting work is listed, in milliseconds; listing reads every open job. */
const observeIntervalMs = 500;
/** Smoothed delay of timers from which the leader and not its pools limits the starts, in milliseconds. */
const limitingDelayMs = 100;
/** Number of jobs with an uncertain outcome from which those that are known by now are removed. */
const uncertainJobsLimit = 1_000;
const milliCpuPerCore = 1_000;

/** What a leader knows for the decision about new jobs. */
export interface Admission {
    backlog: Backlog;
    /** When the backlog was listed, in monotonic milliseconds. */
    observedAtMs: number;
    readonly throughputs: Map<string, Throughput>;
    readonly busyness: LeaderBusyness;
    /** Ids of the jobs that this leader proposed and that may still be committed, by `formatJobKey`; they are not refused. */
    readonly proposedJobs: Map<string, JobId>;
    /** Estimated memory of the jobs whose commands wait for their commit, in bytes. */
    proposedBytes: number;
}

/** Creates the record of a term that has just opened. */
export function createAdmission(): Admission {
    return {
        backlog: [],
        observedAtMs: Number.NEGATIVE_INFINITY,
        throughputs: new Map(),
        busyness: createLeaderBusyness(),
        proposedJobs: new Map(),
        proposedBytes: 0,
    };
}

function getThroughput(admission: Admission, service: string): Throughput {
    const known = admission.throughputs.get(service);
    if (known !== undefined) {
        return known;
    }
    const created = createThroughput();
    admission.throughputs.set(service, created);
    return created;
}

function computeCoreMs(spec: StepSpec): number {
    return spec.expectedRunMs * spec.resources.milliCpu / milliCpuPerCore;
}

/** Work that a command starts or ends; read before it is applied, because a job that closes loses its definition. */
export interface CommandWork {
    readonly kind: "started" | "ended";
    readonly service: string;
    readonly coreMs: number;
    /** Position in the command. */
    readonly position: number;
}

function findWork(state: JobState, job: JobId, step: number) {
    const record = state.jobs.get(job);
    const spec = record?.definition.steps[step];
    return record === undefined || spec === undefined || spec.longRunning
        ? undefined
        : { service: record.queue.service, coreMs: computeCoreMs(spec) };
}

/** Lists the work that a command starts or ends successfully. */
export function listCommandWork(state: JobState, command: WithoutTime<JobCommand>): CommandWork[] {
    const listed: CommandWork[] = [];
    if (command.kind === "startRuns") {
        command.starts.forEach(({ job, step }, position) => {
            const work = findWork(state, job, step);
            if (work !== undefined) {
                listed.push({ kind: "started", position, ...work });
            }
        });
    }
    if (command.kind === "endRuns") {
        command.ends.forEach(({ job, step, outcome }, position) => {
            const work = outcome === "succeeded" ? findWork(state, job, step) : undefined;
            if (work !== undefined) {
                listed.push({ kind: "ended", position, ...work });
            }
        });
    }
    return listed;
}

/** Records the work of a committed command. */
export function recordWork(admission: Admission, work: readonly CommandWork[], result: JobResult, nowMs: number): void {
    const refused = new Set(result.kind === "started" ? result.refused : []);
    for (const { kind, service, coreMs, position } of work) {
        if (kind === "ended") {
            recordEnded(getThroughput(admission, service), coreMs, nowMs);
        }
        else if (!refused.has(position)) {
            recordStarted(getThroughput(admission, service), coreMs, nowMs);
        }
    }
}

interface PoolUse {
    capacity: Resources;
    used: Resources;
    coresInUse: number;
}

/**
 * Sums for each pool what the workers that take starts have and what their runs use; best-effort runs count with their
 * processors.
 */
function sumPools(state: JobState): Map<string, PoolUse> {
    const none: Resources = { milliCpu: 0, memoryMib: 0, accelerators: 0 };
    const pools = new Map<string, PoolUse>();
    for (const worker of state.workers.values()) {
        const { info, runs } = worker;
        const pool = pools.get(info.service) ?? { capacity: none, used: none, coresInUse: 0 };
        pools.set(info.service, pool);
        const isInUse = acceptsStarts(state, worker);
        pool.capacity = isInUse ? addResources(pool.capacity, info.capacity) : pool.capacity;
        for (const { step: { spec } } of runs.values()) {
            pool.used = isInUse ? addResources(pool.used, spec.resources) : pool.used;
            pool.coresInUse += spec.longRunning ? 0 : spec.resources.milliCpu / milliCpuPerCore;
        }
    }
    return pools;
}

function computeUsedShare({ capacity, used }: PoolUse): number {
    const share = (of: number, whole: number): number => whole === 0 ? 0 : of / whole;
    return Math.max(
        share(used.milliCpu, capacity.milliCpu),
        share(used.memoryMib, capacity.memoryMib),
        share(used.accelerators, capacity.accelerators),
    );
}

/** Lists the waiting work again if the last list is older than `observeIntervalMs`. */
export function observeWaitingWork(term: Term, nowMs: number, wallMs: number): void {
    const { admission, machine, ration } = term;
    if (nowMs - admission.observedAtMs < observeIntervalMs) {
        return;
    }
    admission.observedAtMs = nowMs;
    admission.backlog = listBacklog(machine.state, wallMs);
    const waitingTasks = new Map<string, number>();
    for (const { service, tasks } of admission.backlog) {
        waitingTasks.set(service, (waitingTasks.get(service) ?? 0) + tasks);
    }
    for (const [service, pool] of sumPools(machine.state)) {
        recordPoolState(
            getThroughput(admission, service),
            waitingTasks.get(service) ?? 0,
            computeUsedShare(pool),
            admission.busyness.delayMs >= limitingDelayMs || isRationed(ration),
            pool.coresInUse,
            nowMs,
        );
    }
}

type JobSources = Pick<Term, "admission" | "machine">;
type Submission = Omit<Extract<JobRequest, { readonly kind: "submitJob"; }>, "kind">;

/**
 * Whether a job is recorded or may still be: this leader proposed it and does not know the outcome. Such a job is never
 * refused, because it may run. Jobs that earlier leaders proposed are recorded by now or can no longer be committed,
 * because a term opens only after a commit of its own.
 */
export function canBeRecorded({ admission, machine }: JobSources, submission: Submission): boolean {
    const recorded = machine.state.jobs.get(submission.spec.id);
    return recorded !== undefined && isJobOfRequest(recorded, submission)
        || admission.proposedJobs.has(formatJobKey(submission));
}

/** Whether a pool has queues of several priorities, so that early refusal applies. */
function hasSeveralPriorities({ configuration }: JobState, service: string): boolean {
    const ofPool = configuration?.queues.filter(queue => queue.service === service) ?? [];
    return new Set(ofPool.map(({ priority }) => priority)).size > 1;
}

/** Decides whether there is memory for a job that is certainly not recorded; returns the reply that refuses it, undefined if there is. */
export function refuseForRoom(
    term: Term,
    definition: JobDefinition,
    queue: QueueSettings,
    wallMs: number,
): JobReply | undefined {
    const { state } = term.machine;
    const { proposedBytes } = term.admission;
    const priorities = listPriorities(state);
    const heldBytes = state.heldBytes - estimateOldBytes(state, wallMs);
    const decision = decideRoom(definition, queue, {
        heldBytes,
        proposedBytes,
        budgetBytes: state.budgetBytes,
        priorities,
    });
    if (decision.kind === "fits") {
        return undefined;
    }
    const refusal = decision.kind === "full" ? "stateFull" : "tooLarge";
    term.metrics.countEvent(`jobs.overloaded.${refusal}`, queue.name, queue.service);
    term.logger.info("job refused for memory", {
        job: definition.id,
        queue: queue.name,
        priority: queue.priority,
        refusal,
        jobBytes: estimateJobBytes(definition),
        heldBytes,
        proposedBytes,
        budgetBytes: state.budgetBytes,
        openJobs: state.openJobs.size,
        scheduledJobs: state.scheduledJobs.size,
        closedJobs: state.closedJobs.size,
    });
    switch (decision.kind) {
        case "full":
            return { kind: "rejected", reason: "overloaded", retryAfterMs: decision.retryAfterMs };
        case "tooLarge":
            return { kind: "rejected", reason: "impossible", retryAfterMs: undefined };
    }
}

function listPriorities({ configuration }: JobState): readonly number[] {
    return configuration?.queues.map(({ priority }) => priority) ?? [];
}

/** Decides about a job that is certainly not recorded; returns the reply that refuses it, undefined if it is accepted. */
export function refuseJob(
    term: Term,
    definition: JobDefinition,
    queue: QueueSettings,
    nowMs: number,
    wallMs: number,
): JobReply | undefined {
    const { admission, machine } = term;
    observeWaitingWork(term, nowMs, wallMs);
    const inputs = {
        backlog: admission.backlog,
        throughput: getThroughput(admission, queue.service),
        busyness: admission.busyness,
        priorities: listPriorities(machine.state),
        startsPerSecond: findUrgency(machine.state.configuration, queue) === "deferrable"
            ? readRationedRate(term.ration)
            : undefined,
        workers: machine.state.workers.size,
        isShared: hasSeveralPriorities(machine.state, queue.service),
    };
    const decision = decideAdmission(definition, queue, inputs, nowMs, wallMs);
    if (decision.cause === undefined) {
        return undefined;
    }
    term.metrics.countEvent(`jobs.overloaded.${decision.cause}`, queue.name, queue.service);
    term.logger.info("job refused for overload", {
        job: definition.id,
        queue: queue.name,
        priority: queue.priority,
        refusal: decision.cause,
        retryAfterMs: decision.retryAfterMs,
        predictedWaitMs: Math.round(decision.waitMs),
        aheadTasks: decision.aheadTasks,
        aheadCoreMs: Math.round(decision.aheadCoreMs),
        tasksPerSecond: Math.round(decision.tasksPerSecond),
        cores: Math.round(decision.cores),
        delayMs: Math.round(admission.busyness.delayMs),
        waitingCommits: admission.busyness.waitingCommits,
        sharedPool: inputs.isShared,
        backlogAgeMs: Math.round(nowMs - admission.observedAtMs),
    });
    return { kind: "rejected", reason: "overloaded", retryAfterMs: decision.retryAfterMs };
}

/** Records that a job is proposed, before its command may be appended to the log. */
export function recordProposal({ admission, machine }: JobSources, submission: Submission): void {
    const { proposedJobs } = admission;
    if (proposedJobs.size >= uncertainJobsLimit) {
        [...proposedJobs].filter(([, id]) => machine.state.jobs.has(id)).forEach(([key]) => proposedJobs.delete(key));
    }
    proposedJobs.set(formatJobKey(submission), submission.spec.id);
}

/** Removes the record of a proposal whose outcome is known. */
export function forgetProposal({ admission }: Pick<Term, "admission">, submission: Submission): void {
    admission.proposedJobs.delete(formatJobKey(submission));
}

/** Adds the tasks of a job that was just accepted to the waiting work. */
export function recordAcceptance(term: Term, job: JobId, nowMs: number, wallMs: number): void {
    const { admission, machine } = term;
    createDueOccurrences(machine.state, wallMs);
    const record = machine.state.jobs.get(job);
    for (const occurrence of record?.occurrences.values() ?? []) {
        if (record !== undefined && (occurrence.dueAtMs ?? wallMs) <= wallMs) {
            const entry = createBacklogEntry(record, occurrence, wallMs);
            admission.backlog.push(entry);
            recordAccepted(getThroughput(admission, entry.service), entry, nowMs);
        }
    }
}
