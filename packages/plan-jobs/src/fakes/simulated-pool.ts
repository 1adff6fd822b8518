import {
    computeReservation,
    formatRunKey,
    isJobEnded,
    type JobRecord,
    type JobStep,
    type JobTask,
} from "@chestnutspool/job-state";
import { makeJob, makeMachine, makeQueue, makeWorker, testStartMs } from "@chestnutspool/job-state/fakes";
import { createPlacementMemory } from "@chestnutspool/plan-placement-waits";
import {
    createRunStatus,
    findCrashSuspects,
    hasTrial,
    isDeadly,
    type RunStatus,
    type RunStatuses,
} from "@chestnutspool/track-workers";
import { type RunEnd, type RunStart, type StepSpec, subtractResources, type WorkerInfo } from "@chestnutspool/types";
import { createPlanMemory } from "../plan-memory.js";
import { planStarts } from "../plan-starts.js";
import { makePlanInput } from "./make-plan-input.js";

/** Time between two passes, in milliseconds; workers report as often. */
const passMs = 100;
/** Time until the crash of a worker is recorded and the next worker is there, in milliseconds. */
const silentMs = 2_000;
const reportDelayMs = 50;

/** A job of a simulated pool. */
export interface SimulatedJob {
    readonly id: string;
    readonly queue: "main" | "urgent";
    readonly submittedAtMs: number;
    readonly spec: StepSpec;
    readonly runMs: number;
}

/** What happens in a simulated pool. Times are in milliseconds since its start. */
export interface Scenario {
    readonly workers: readonly Partial<WorkerInfo>[];
    readonly jobs: readonly SimulatedJob[];
    /** A worker crashes that has runs: the one with that number among those, by the number of their runs. */
    readonly crashes: readonly { readonly atMs: number; readonly victim: number; }[];
    readonly leaderChangeAtMs: number;
    /** Worker on probation, on which one run may start at a time. */
    readonly probation: number;
    readonly waitsForRacks: boolean;
}

/** A step without a run, or a long-running task that was not started again, for longer than allowed. */
export interface DelayedStep {
    readonly job: string;
    /** Position of the long-running task; undefined for a step. */
    readonly position?: number;
    readonly atMs: number;
    readonly waitedMs: number;
}

function countRoom(
    spec: StepSpec,
    { info, free }: { readonly info: WorkerInfo; readonly free: WorkerInfo["capacity"]; },
    startLimit: number | undefined,
): number {
    const needed = computeReservation(spec);
    const fits = Math.min(
        needed.milliCpu === 0 ? Number.POSITIVE_INFINITY : Math.floor(free.milliCpu / needed.milliCpu),
        Math.floor(free.memoryMib / needed.memoryMib),
        // A best-effort task reserves no processors, but starts only where some are idle.
        Math.floor(free.milliCpu / spec.resources.milliCpu),
        spec.perWorkerLimit ?? Number.POSITIVE_INFINITY,
        startLimit ?? Number.POSITIVE_INFINITY,
    );
    return spec.requiredLabel === undefined || info.labels.includes(spec.requiredLabel) ? Math.max(0, fits) : 0;
}

/** Time without a crash after which the limit of the restart of a long-running task holds, in milliseconds. */
const faultFreeMs = 7_000;

/** Crashes of workers under a task from which its job may be given up, so that its waits do not count as delays. */
const exemptCrashes = 2;
/** Factor on the allowed time for such jobs, which must not wait without end either. */
const exemptFactor = 5;

function countCrashes({ tasks }: JobStep): number {
    return Math.max(0, ...tasks.map(({ crashHistory, crashes }) => crashHistory?.crashes ?? crashes?.crashes ?? 0));
}

/**
 * Runs a pool in simulated time, with the rules by which crashes are judged; no job causes a crash. A long-running task may wait for
 * `restartLimitMs` after its last run; by default this is not judged.
 */
export function simulatePool(
    scenario: Scenario,
    untilMs: number,
    allowedMs: number,
    restartLimitMs = Number.POSITIVE_INFINITY,
): DelayedStep[] {
    const workers = scenario.workers.map((changes, number) => makeWorker(`w${number}`, changes));
    const machine = makeMachine(workers, [
        makeQueue(),
        makeQueue({ name: "urgent", path: "/urgent/", priority: 0 }),
    ]);
    const { state } = machine;
    const statuses = new Map<string, RunStatuses>();
    const silent = new Map<string, number>();
    const jobs = new Map(scenario.jobs.map(job => [job.id, job]));
    const withoutRunSince = new Map<JobStep, number>();
    const interruptedSince = new Map<JobTask, number>();
    let lastCrashMs = Number.NEGATIVE_INFINITY;
    const delayed: DelayedStep[] = [];
    let memory = createPlanMemory();
    let placements = createPlacementMemory();
    let generation = 0;
    const findStartLimit = (worker: string): number | undefined =>
        worker === `w${scenario.probation}` ? Math.max(0, 1 - (state.workers.get(worker)?.runs.size ?? 0)) : undefined;
    const getStatuses = (worker: string): RunStatuses => {
        const known = statuses.get(worker) ?? new Map<string, RunStatus>();
        statuses.set(worker, known);
        return known;
    };
    const endRun = (worker: string, status: RunStatus, outcome: RunEnd["outcome"], atMs: number): void => {
        const { job, occurrence, step, position, run } = status.key;
        const end: RunEnd = { job, occurrence, step, position, run, outcome, checkpoint: "" };
        machine.apply({ kind: "endRuns", worker, ends: [end] }, testStartMs + atMs);
        getStatuses(worker).delete(formatRunKey(end));
    };
    const crashWorker = (victim: number, atMs: number): void => {
        const busy = [...state.workers.values()].filter(({ info, runs }) => runs.size > 0 && !silent.has(info.id))
            .sort((left, right) => right.runs.size - left.runs.size);
        const crashed = busy[victim % Math.max(1, busy.length)];
        if (crashed !== undefined) {
            silent.set(crashed.info.id, atMs);
            lastCrashMs = atMs;
        }
    };
    const replaceWorker = (worker: string, sinceMs: number, atMs: number): void => {
        const crashed = state.workers.get(worker);
        if (crashed === undefined) {
            return;
        }
        const found = findCrashSuspects(crashed, getStatuses(worker), sinceMs);
        machine.apply({
            kind: "expireWorker",
            worker,
            isGone: true,
            checkpoints: [],
            crash: { ...found, silentMs: atMs - sinceMs },
        }, testStartMs + atMs);
        silent.delete(worker);
        statuses.delete(worker);
        generation += 1;
        const next = { ...crashed.info, id: `next${generation}` };
        machine.apply({ kind: "registerWorker", worker: next }, testStartMs + atMs);
    };
    /** Reports runs, ends those that are due, and those of gangs that have lost a member. */
    const applyReports = (atMs: number): void => {
        for (const [worker, { runs }] of [...state.workers]) {
            if (silent.has(worker)) {
                continue;
            }
            for (const [key, { job, step }] of [...runs]) {
                const status = getStatuses(worker).get(key);
                const planned = jobs.get(job.id);
                if (status === undefined || planned === undefined || atMs - status.orderedAtMs < reportDelayMs) {
                    continue;
                }
                status.start = "confirmed";
                status.readAtMs = atMs;
                const hasLostMember = step.spec.gang && step.waiting.size > 0;
                if (hasLostMember) {
                    endRun(worker, status, "gangBroken", atMs);
                }
                else if (!step.spec.longRunning && atMs - status.orderedAtMs >= planned.runMs) {
                    endRun(worker, status, "succeeded", atMs);
                }
            }
        }
    };
    const changeLeader = (atMs: number): void => {
        memory = createPlanMemory();
        placements = createPlacementMemory();
        for (const ofWorker of statuses.values()) {
            ofWorker.forEach(({ key }, runKey) => ofWorker.set(runKey, createRunStatus(key, "excluded", atMs)));
        }
    };
    const recordStarts = (starts: readonly RunStart[], atMs: number): void => {
        machine.apply({ kind: "startRuns", starts }, testStartMs + atMs);
        for (const { worker, ...key } of starts) {
            getStatuses(worker).set(formatRunKey(key), createRunStatus(key, "ordered", atMs));
        }
    };
    /** Whether trusted workers without a trial have room for a step twice over, and less than half of the pool is in use. */
    const isFeasible = ({ spec, tasks }: JobStep): boolean => {
        let room = 0;
        let used = 0;
        let capacity = 0;
        for (const worker of state.workers.values()) {
            const { info } = worker;
            capacity += info.capacity.milliCpu;
            used += [...worker.runs.values()].reduce((sum, run) => sum + run.step.spec.resources.milliCpu, 0);
            if (!silent.has(info.id) && !hasTrial(worker, getStatuses(info.id))) {
                const free = {
                    ...info.capacity,
                    milliCpu: info.capacity.milliCpu
                        - [...worker.runs.values()].reduce((sum, run) => sum + run.step.spec.resources.milliCpu, 0),
                    memoryMib: info.capacity.memoryMib - worker.used.memoryMib,
                };
                room += countRoom(spec, { info, free }, findStartLimit(info.id));
            }
        }
        return room >= 2 * (spec.gang ? tasks.length : 1) && used < capacity / 2;
    };
    const observeStep = (job: JobRecord, step: JobStep, atMs: number): void => {
        const hasRun = step.waiting.size < step.tasks.length;
        if (hasRun || isJobEnded(job) || step.tasks.some(isDeadly) || !isFeasible(step)) {
            withoutRunSince.delete(step);
            return;
        }
        const sinceMs = withoutRunSince.get(step) ?? atMs;
        withoutRunSince.set(step, sinceMs);
        if (atMs - sinceMs > allowedMs * (countCrashes(step) >= exemptCrashes ? exemptFactor : 1)) {
            delayed.push({ job: job.id, atMs, waitedMs: atMs - sinceMs });
        }
    };
    /** Whether a worker has room for a task of a step twice over, whatever else the planner keeps from starting there. */
    const hasRoomTwice = ({ spec }: JobStep): boolean =>
        [...state.workers.values()].some(({ info, used }) =>
            !silent.has(info.id)
            && countRoom(spec, { info, free: subtractResources(info.capacity, used) }, undefined) >= 2
        );
    /** Finds long-running tasks that do not run again in time. They count one by one, and also if the planner suspects them of crashes. */
    const observeLastingTasks = (job: JobRecord, step: JobStep, atMs: number): void => {
        for (const task of step.tasks) {
            const isInterrupted = step.spec.longRunning && task.lastRun > 0 && step.waiting.has(task.position);
            if (!isInterrupted || isJobEnded(job) || step.tasks.some(isDeadly) || !hasRoomTwice(step)) {
                interruptedSince.delete(task);
                continue;
            }
            const sinceMs = interruptedSince.get(task) ?? atMs;
            interruptedSince.set(task, sinceMs);
            if (atMs - sinceMs > restartLimitMs && atMs - lastCrashMs > faultFreeMs) {
                delayed.push({ job: job.id, position: task.position, atMs, waitedMs: atMs - sinceMs });
            }
        }
    };
    for (let atMs = 0; atMs <= untilMs && delayed.length === 0; atMs += passMs) {
        scenario.jobs.filter(({ submittedAtMs }) => submittedAtMs === atMs).forEach(({ id, queue, spec }) => {
            const command = { kind: "submitJob", spec: makeJob(id, [spec]), hostName: "jobs.example" } as const;
            machine.apply({ ...command, path: `/${queue}/${id}` }, testStartMs + atMs);
        });
        scenario.crashes.filter(crash => crash.atMs === atMs).forEach(({ victim }) => crashWorker(victim, atMs));
        applyReports(atMs);
        [...silent].filter(([, sinceMs]) => atMs - sinceMs >= silentMs)
            .forEach(([worker, sinceMs]) => replaceWorker(worker, sinceMs, atMs));
        if (scenario.leaderChangeAtMs === atMs) {
            changeLeader(atMs);
        }
        const input = {
            ...makePlanInput(state),
            isUsable: (worker: string) => !silent.has(worker),
            findStartLimit,
            findRunStatuses: getStatuses,
            placementWaits: scenario.waitsForRacks ? { farFactor: 3, memory: placements } : undefined,
        };
        recordStarts(planStarts(input, testStartMs + atMs, memory), atMs);
        for (const job of state.openJobs.values()) {
            job.occurrences.forEach(({ steps }) =>
                steps.forEach(step => {
                    observeStep(job, step, atMs);
                    observeLastingTasks(job, step, atMs);
                })
            );
        }
    }
    return delayed;
}
