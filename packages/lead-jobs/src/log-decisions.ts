import {
    findRack,
    formatRunKey,
    formatStepKey,
    formatTaskKey,
    isJobEnded,
    type JobRecord,
    type WorkerRun,
    type WorkerState,
} from "@chestnutspool/job-state";
import {
    describeWait,
    findWaitReason,
    listCandidates,
    listWaitingSteps,
    type PlanInput,
    type PlanMemory,
    type TrialObstacle,
    type WaitingStep,
} from "@chestnutspool/plan-jobs";
import { countUnprovedRuns } from "@chestnutspool/track-workers";
import type { JobPhase, RunEnd, RunKey, RunStart, WorkerCrash } from "@chestnutspool/types";
import type { Term, WorkerSession } from "./term.js";

/**
 * Waiting time after which the reason why a step waits is logged, in milliseconds; with free capacity a step starts
 * within a pass.
 */
const loggedWaitMs = 1_000;
/** Limit of waiting steps that one check describes, because each is compared with all workers. */
const stepsPerCheck = 20;

/** Lists runs of one step in a line, each as POSITION#RUN@WORKER. */
function formatStarts(starts: readonly RunStart[]): string {
    return starts.map(({ position, run, worker }) => `${position}#${run}@${worker}`).join(" ");
}

/**
 * Logs the starts of one pass, one line a step, because a line for each run would exceed the limit of the log at a few
 * hundred starts a second.
 */
export function logStarts(term: Term, starts: readonly RunStart[]): void {
    const startsByStep = new Map<string, RunStart[]>();
    for (const start of starts) {
        const key = formatStepKey(start);
        const ofStep = startsByStep.get(key) ?? [];
        ofStep.push(start);
        startsByStep.set(key, ofStep);
    }
    for (const ofStep of startsByStep.values()) {
        const [first] = ofStep;
        const job = first === undefined ? undefined : term.machine.state.jobs.get(first.job);
        term.logger.info("runs are ordered", {
            job: first?.job,
            occurrence: first?.occurrence,
            step: first?.step,
            queue: job?.queue.name,
            sinceAcceptedMs: job === undefined ? undefined : term.machine.state.clockMs - job.acceptedAtMs,
            count: ofStep.length,
            runs: formatStarts(ofStep),
        });
    }
}

/** Logs an order to start a run with the state of the worker: at level info for repeated runs, else at level debug. */
export function logRunOrdered(term: Term, session: WorkerSession, run: WorkerRun, key: RunKey, nowMs: number): void {
    const { job, step } = run;
    const state = term.machine.state.workers.get(session.info.id);
    const waitedMs = term.machine.state.clockMs - job.acceptedAtMs;
    term.metrics.countEvent("runs.ordered", job.queue.name, job.queue.service);
    if (key.run === 1 && key.step === 0) {
        term.metrics.recordDuration("acceptedToStartMs", job.queue.name, job.queue.service, waitedMs);
    }
    const writeLog = key.run > 1 ? term.logger.info : term.logger.debug;
    writeLog("run is ordered", {
        job: job.id,
        task: formatTaskKey(key),
        run: key.run,
        worker: session.info.id,
        queue: job.queue.name,
        sinceAcceptedMs: waitedMs,
        checkpoint: run.task.checkpoint === "" ? undefined : run.task.checkpoint,
        rack: findRack(session.info),
        rackOfData: step.spec.rackOfData,
        workerRuns: state?.runs.size,
        workerMilliCpuUsed: state?.used.milliCpu,
        workerReportAgeMs: session.answeredAtMs === undefined ? undefined : Math.round(nowMs - session.answeredAtMs),
    });
}

/** Reads the phases of the jobs of the given ends, to compare them after the ends are recorded. */
export function readPhases(term: Term, ends: readonly RunKey[]): ReadonlyMap<JobRecord, JobPhase> {
    const phases = new Map<JobRecord, JobPhase>();
    for (const { job: id } of ends) {
        const job = term.machine.state.jobs.get(id);
        if (job !== undefined) {
            phases.set(job, job.phase);
        }
    }
    return phases;
}

/** Logs the runs that were not recorded any more and have completed their tasks. */
export function logLateSuccesses(term: Term, { info }: WorkerSession, keys: readonly RunKey[]): void {
    for (const key of keys) {
        term.logger.info("late success completes a task", {
            job: key.job,
            task: formatTaskKey(key),
            run: key.run,
            worker: info.id,
        });
    }
}

/** Logs the jobs that have ended since `before` was read. */
export function logEndedJobs(term: Term, before: ReadonlyMap<JobRecord, JobPhase>): void {
    for (const [job, phase] of before) {
        if (job.phase === phase || !isJobEnded(job)) {
            continue;
        }
        const tookMs = (job.endedAtMs ?? job.acceptedAtMs) - job.acceptedAtMs;
        term.metrics.countEvent(`jobs.${job.phase}`, job.queue.name, job.queue.service);
        term.metrics.recordDuration("jobMs", job.queue.name, job.queue.service, tookMs);
        const { id, queue, failure } = job;
        term.logger.info("job ended", { job: id, queue: queue.name, phase: job.phase, ...failure, tookMs });
    }
}

/** Logs the crash of a worker and the runs that are suspected of it, each with its number of earlier suspicions. */
export function logWorkerCrash(
    term: Term,
    { info, runStatuses, answeredAtMs }: WorkerSession,
    state: WorkerState,
    { suspectedRuns, isCertain, laterRuns = [] }: WorkerCrash,
    nowMs: number,
): void {
    term.metrics.countEvent("workers.crashed", "", info.service);
    term.logger.warn("worker has crashed", {
        worker: info.id,
        runs: state.runs.size,
        unprovedRuns: countUnprovedRuns(state, runStatuses),
        suspects: suspectedRuns.map(key => {
            const suspicions = state.runs.get(formatRunKey(key))?.task.crashes?.suspicions ?? 0;
            return `${formatRunKey(key)}(${suspicions})`;
        }).join(" "),
        isCertain,
        laterRuns: laterRuns.length,
        answerAgeMs: answeredAtMs === undefined ? undefined : Math.round(nowMs - answeredAtMs),
    });
}

/** Logs that a worker has crashed in an outage of its zone or rack, and the suspected tasks that are not blamed for it. */
export function logSharedCrash(term: Term, { info }: WorkerSession): void {
    const crash = term.machine.state.recentCrashes.findLast(({ worker }) => worker === info.id);
    if (crash?.outageWorkers !== undefined) {
        term.logger.info("worker has crashed in an outage", {
            worker: info.id,
            availabilityZone: info.availabilityZone,
            workers: crash.outageWorkers,
            notBlamed: crash.sparedTasks?.join(" ") ?? "",
        });
    }
}

/** Time below full pace from which the end of a successful run is logged at level info, in milliseconds. */
const loggedSlowedMs = 1_000;

/**
 * Logs the end of a run with the state from its last report: at level debug if the run succeeded without having been
 * slowed down for long. Must be called before its status is deleted.
 */
export function logRunEnded(term: Term, session: WorkerSession, end: RunEnd): void {
    const status = session.runStatuses.get(formatRunKey(end));
    term.metrics.countEvent(`runs.${end.outcome}`, "", session.info.service);
    const isRoutine = end.outcome === "succeeded" && (status?.slowedMs ?? 0) < loggedSlowedMs;
    const writeLog = isRoutine ? term.logger.debug : term.logger.info;
    writeLog("run ended", {
        job: end.job,
        task: formatTaskKey(end),
        run: end.run,
        worker: session.info.id,
        outcome: end.outcome,
        checkpoint: end.checkpoint === "" ? undefined : end.checkpoint,
        progressPercent: status?.progressPercent,
        lowestPacePercent: status?.lowestPacePercent,
        slowedMs: status === undefined ? undefined : Math.round(status.slowedMs),
    });
}

/** Drops what was logged of the steps that no longer wait, so that it is logged again once they do. */
function dropOthers(logged: Map<string, unknown>, keptKeys: ReadonlySet<string>): void {
    for (const key of logged.keys()) {
        if (!keptKeys.has(key)) {
            logged.delete(key);
        }
    }
}

/**
 * Logs the reason why a step waits if it has waited for at least `loggedWaitMs`, and again when the reason changes.
 * `loggedReasons` holds the last logged reason by step key; `nowMs` is wall-clock time in milliseconds.
 */
export function logWaitingSteps(
    { logger }: Pick<Term, "logger">,
    input: PlanInput,
    memory: PlanMemory,
    loggedReasons: Map<string, string>,
    nowMs: number,
): void {
    const computeWaitedMs = ({ job, occurrence }: WaitingStep): number =>
        nowMs - (occurrence.dueAtMs ?? job.acceptedAtMs);
    const waitingLong = listWaitingSteps(input.state, nowMs)
        .filter(waiting => computeWaitedMs(waiting) >= loggedWaitMs)
        .slice(0, stepsPerCheck);
    const candidates = waitingLong.length === 0 ? [] : listCandidates(input);
    const describedKeys = new Set<string>();
    for (const waiting of waitingLong) {
        const { job, occurrence, step } = waiting;
        const key = formatStepKey({ job: job.id, occurrence: occurrence.number, step: step.position });
        describedKeys.add(key);
        const wait = describeWait(candidates, waiting, input);
        const { workers, withRoom, suitable } = wait;
        const obstacle = memory.blockedTrials.get(step)?.obstacle;
        const reason = workers === 0
            ? "noWorker"
            : obstacle !== undefined && (withRoom > 0 || obstacle !== "noRoom")
            ? "needsTrial"
            : withRoom === 0
            ? "noRoom"
            : suitable === 0
            ? "disturbs"
            : findWaitReason(memory, waiting) ?? "notAllFit";
        if (loggedReasons.get(key) === reason) {
            continue;
        }
        loggedReasons.set(key, reason);
        logger.info("step waits", {
            job: job.id,
            queue: job.queue.name,
            occurrence: occurrence.number,
            step: step.position,
            tasks: step.waiting.size,
            waitedMs: computeWaitedMs(waiting),
            reason,
            milliCpu: step.spec.resources.milliCpu,
            memoryMib: step.spec.resources.memoryMib,
            ...wait,
        });
    }
    dropOthers(loggedReasons, describedKeys);
}

/**
 * Logs which rule keeps tasks from their trials if they have waited for at least `loggedWaitMs`, and again when the rule changes, whether
 * other tasks of their job run or not. `loggedObstacles` holds the last logged rule by step key; `nowMs` is wall-clock time in milliseconds.
 */
export function logBlockedTrials(
    { logger }: Pick<Term, "logger">,
    { blockedTrials }: PlanMemory,
    loggedObstacles: Map<string, TrialObstacle>,
    nowMs: number,
): void {
    const waitingLong = [...blockedTrials.values()].filter(({ sinceMs }) => nowMs - sinceMs >= loggedWaitMs);
    const describedKeys = new Set<string>();
    for (const blocked of waitingLong.slice(0, stepsPerCheck)) {
        const { job, occurrence, step, obstacle } = blocked;
        const key = formatStepKey({ job: job.id, occurrence: occurrence.number, step: step.position });
        describedKeys.add(key);
        if (loggedObstacles.get(key) === obstacle) {
            continue;
        }
        loggedObstacles.set(key, obstacle);
        logger.info("step waits for a trial", {
            job: job.id,
            queue: job.queue.name,
            occurrence: occurrence.number,
            step: step.position,
            tasks: blocked.tasks,
            runsInProgress: job.runsInProgress,
            waitedMs: nowMs - blocked.sinceMs,
            obstacle,
            obstacleMs: nowMs - blocked.obstacleSinceMs,
            milliCpu: step.spec.resources.milliCpu,
            memoryMib: step.spec.resources.memoryMib,
        });
    }
    dropOthers(loggedObstacles, describedKeys);
}
