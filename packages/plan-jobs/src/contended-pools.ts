import type { JobOccurrence, JobState } from "@chestnutspool/job-state";
import {
    createShareMemory,
    floorShare,
    type GivenTurn,
    observeWaitingJobs,
    orderByShares,
    recordStartedWork,
    type ShareMemory,
    type WaitingWork,
} from "@chestnutspool/share-capacity";
import type { RunStart } from "@chestnutspool/types";
import type { PlanInput } from "./plan-input.js";
import { predictCompletion } from "./predict-lateness.js";
import { findUrgency } from "./queue-urgency.js";
import type { WaitingStep } from "./waiting-steps.js";

/**
 * Time that the processors of a pool need for the work that waits at one priority from which its order is that of contended capacity,
 * in milliseconds. With less, everybody can still be in time, and the order by lateness and size serves more jobs.
 */
const contendedDrainMs = 2_000;
/** Interval at which contention is checked, in milliseconds; a check reads all runs. */
const checkIntervalMs = 200;
const milliCpuPerCore = 1_000;
const millisecondsPerSecond = 1_000;

/** Queues of one priority in one pool. */
export interface PriorityClass {
    readonly service: string;
    readonly priority: number;
    readonly shares: ShareMemory;
    isContended: boolean;
    /** Time that the processors, or the leader, need for the waiting work, in milliseconds. */
    drainMs: number;
}

/** Contention of the pools, as the planner remembers it. It is soft state. */
export interface ContentionMemory {
    readonly classes: Map<string, PriorityClass>;
    checkedAtMs: number;
    /** Turns that were given since they were last taken for the log. */
    readonly givenTurns: ClassTurn[];
}

/** A turn with the pool in which it was given. */
export interface ClassTurn extends GivenTurn {
    readonly service: string;
    readonly priority: number;
    /** Time that the processors need for the work that waits at this priority, in milliseconds. */
    readonly drainMs: number;
}

/** Creates the memory of pools without jobs. */
export function createContentionMemory(): ContentionMemory {
    return { classes: new Map(), checkedAtMs: Number.NEGATIVE_INFINITY, givenTurns: [] };
}

/** Bound of the turns kept for the log. */
const givenTurnsLimit = 32;

interface StepWork extends WaitingWork {
    readonly waiting: WaitingStep;
}

function formatClassKey(service: string, priority: number): string {
    return `${service}/${priority}`;
}

function formatWorkKey(job: string, occurrence: number): string {
    return `${job}/${occurrence}`;
}

/** Services with queues of several priorities; the others keep the order by lateness and size. */
function listSharedServices({ configuration }: JobState): ReadonlySet<string> {
    const priorities = new Map<string, Set<number>>();
    for (const { service, priority } of configuration?.queues ?? []) {
        priorities.set(service, (priorities.get(service) ?? new Set()).add(priority));
    }
    return new Set([...priorities].filter(([, ofService]) => ofService.size > 1).map(([service]) => service));
}

function sumWork(occurrence: JobOccurrence): Pick<WaitingWork, "work" | "workToStart"> {
    let work = 0;
    let workToStart = 0;
    for (const { spec, tasks, waiting } of occurrence.steps) {
        const ofTask = spec.expectedRunMs * spec.resources.milliCpu / milliCpuPerCore;
        work += tasks.length * ofTask;
        workToStart += waiting.size * ofTask;
    }
    return { work, workToStart };
}

function createStepWork(waiting: WaitingStep, nowMs: number): StepWork {
    const { job, occurrence } = waiting;
    return {
        waiting,
        queue: job.queue.name,
        key: formatWorkKey(job.id, occurrence.number),
        ...sumWork(occurrence),
        completion: predictCompletion(job, occurrence, nowMs),
    };
}

/** Computes the processors that work of a priority uses or could use in a pool, in cores. */
function computeCores(state: JobState, { service, priority }: PriorityClass): number {
    let own = 0;
    let free = 0;
    for (const { info, runs } of state.workers.values()) {
        if (info.service !== service) {
            continue;
        }
        free += info.capacity.milliCpu;
        for (const { job, step: { spec } } of runs.values()) {
            free -= spec.resources.milliCpu;
            own += !spec.longRunning && job.queue.priority >= priority ? spec.resources.milliCpu : 0;
        }
    }
    return (own + Math.max(0, free)) / milliCpuPerCore;
}

/** Computes the time in which a leader that rations starts can start the waiting tasks of deferrable queues, in milliseconds. */
function computeStartMs({ state, startRation }: PlanInput, ofClass: PriorityClass, works: readonly StepWork[]): number {
    if (startRation === undefined || findUrgency(state.configuration, ofClass) === "urgent") {
        return 0;
    }
    const tasks = works.reduce((sum, { waiting: { step } }) => sum + step.waiting.size, 0);
    return tasks * millisecondsPerSecond / startRation.startsPerSecond;
}

function updateContention(input: PlanInput, ofClass: PriorityClass, works: readonly StepWork[]): void {
    const startMs = computeStartMs(input, ofClass, works);
    const byKey = new Map(works.map(work => [work.key, work.workToStart]));
    const waitingWork = [...byKey.values()].reduce((sum, work) => sum + work, 0);
    // Counting the cores reads all runs.
    ofClass.drainMs = waitingWork === 0 || startMs >= contendedDrainMs
        ? startMs
        : Math.max(startMs, waitingWork / computeCores(input.state, ofClass));
    ofClass.isContended = ofClass.drainMs >= contendedDrainMs;
}

function getClass({ classes }: ContentionMemory, { service, priority }: WaitingStep["job"]["queue"]): PriorityClass {
    const key = formatClassKey(service, priority);
    const known = classes.get(key);
    if (known !== undefined) {
        return known;
    }
    const created = { service, priority, shares: createShareMemory(), isContended: false, drainMs: 0 };
    classes.set(key, created);
    return created;
}

/** Groups by class the work whose order contention changes: not that of long-running tasks, nor that which is too late. */
function groupByClass(memory: ContentionMemory, state: JobState, sorted: readonly WaitingStep[], nowMs: number) {
    const services = listSharedServices(state);
    const works = new Map<PriorityClass, StepWork[]>();
    for (const waiting of sorted) {
        const { job: { queue }, step, lateness } = waiting;
        if (services.has(queue.service) && !step.spec.longRunning && lateness !== "tooLate") {
            const ofClass = getClass(memory, queue);
            const known = works.get(ofClass) ?? [];
            works.set(ofClass, known);
            known.push(createStepWork(waiting, nowMs));
        }
    }
    return works;
}

/**
 * Orders sorted waiting steps again where a pool with queues of several priorities is contended: steps of the same priority change
 * places by `orderByShares`. All others keep theirs. `nowMs` is wall-clock time in milliseconds.
 */
export function orderContended(
    memory: ContentionMemory,
    input: PlanInput,
    sorted: readonly WaitingStep[],
    nowMs: number,
): readonly WaitingStep[] {
    const isCheckDue = Math.abs(nowMs - memory.checkedAtMs) >= checkIntervalMs;
    const replaced = new Map<WaitingStep, WaitingStep>();
    const works = groupByClass(memory, input.state, sorted, nowMs);
    if (isCheckDue) {
        memory.checkedAtMs = nowMs;
        memory.classes.forEach(ofClass => updateContention(input, ofClass, works.get(ofClass) ?? []));
    }
    for (const [ofClass, ofWorks] of works) {
        if (!ofClass.isContended) {
            observeWaitingJobs(ofClass.shares, ofWorks, nowMs);
            continue;
        }
        const { ordered, given } = orderByShares(ofClass.shares, ofWorks, nowMs);
        ofWorks.forEach(({ waiting }, index) => replaced.set(waiting, ordered[index]?.waiting ?? waiting));
        const { service, priority, drainMs } = ofClass;
        const logged = given.slice(0, Math.max(0, givenTurnsLimit - memory.givenTurns.length));
        memory.givenTurns.push(...logged.map(turn => ({ ...turn, service, priority, drainMs })));
    }
    return replaced.size === 0 ? sorted : sorted.map(waiting => replaced.get(waiting) ?? waiting);
}

/** Records planned starts against the shares of contended pools. */
export function recordContendedStarts(memory: ContentionMemory, state: JobState, starts: readonly RunStart[]): void {
    for (const { job, occurrence, step } of starts) {
        const record = state.openJobs.get(job);
        const spec = record?.definition.steps[step];
        const ofClass = record && memory.classes.get(formatClassKey(record.queue.service, record.queue.priority));
        if (spec !== undefined && ofClass?.isContended === true) {
            const work = spec.expectedRunMs * spec.resources.milliCpu / milliCpuPerCore;
            recordStartedWork(ofClass.shares, formatWorkKey(job, occurrence), work, floorShare);
        }
    }
}
