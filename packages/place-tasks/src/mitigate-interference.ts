import type { TaskRecord, WorkerId, WorkSpec } from "@chestnutspool/types";
import { evictTask, type PlacementPass } from "./placement-pass.js";
import { estimateEvictionLoss } from "./reclaim-space.js";
import { getTaskClass, type WorkerView } from "./worker-views.js";

/**
 * Accepted slowdown of urgent tasks when only tail latency has a weight, as a share of the run time without neighbours.
 */
const leastSlowdownLimit = 0.5;
/** Factor by which the accepted slowdown is larger when only batch throughput has a weight. */
const slowdownLimitGrowth = 3;
/** Share of the accepted slowdown below which throttling is lifted again; the gap between the two is the hysteresis. */
const releaseShare = 0.5;
/** Reports in a row above or below the limit before a step is taken, so that one noisy report does nothing. */
const reportsBeforeStep = 2;
/** Steps of throttling, in percent of the processor time. */
const throttleSteps = [100, 50, 25] as const;
/**
 * Time between two steps on one worker in milliseconds: a report that shows the effect of the last step must have
 * arrived.
 */
const stepIntervalMs = 12_000;
/** Share of the accepted slowdown that applies to a worker above its high-use limit, which has no room for bursts. */
const highUseShare = 0.7;
/** Slowdown above which a task may be evicted, as a multiple of the accepted one. */
const evictionFactor = 2;
/** Least slowdown that a batch task must cause to be evicted, as a share of the run time without neighbours. */
const leastEvictionSlowdown = 0.2;

/** Progress of a running task as a share of the time that it ran, because neighbours and throttling slow it down. */
const progressShare = 0.6;
/** Least part of a run that is assumed to be left, as a share of the run time; also the margin before a deadline. */
const leastLeftShare = 0.25;
/** Time to the deadline that a job must have left to be evicted and start again, as a multiple of its run time. */
const restartedRuns = 3;

/** State of the mitigation of one worker. */
interface WorkerMitigation {
    /** Decaying mean of the slowdown of the urgent tasks. */
    slowdown: number;
    /** Reports in a row with a slowdown above the limit. */
    reportsAbove: number;
    /** Reports in a row with a slowdown below the share of the limit at which throttling is lifted. */
    reportsBelow: number;
    steppedAtMs: number;
}

/** A batch task that runs beside urgent ones. */
interface Aggressor {
    readonly task: TaskRecord;
    readonly spec: WorkSpec;
    /** Sum of the slowdowns that it adds to the urgent tasks at its current throttling. */
    readonly addedSlowdown: number;
}

/** Throttles or evicts batch tasks that slow down urgent tasks. */
export interface InterferenceMitigator {
    /**
     * Records the mean slowdown of the urgent tasks of a worker and its load from one report; at 1 all processors are
     * used.
     */
    readonly recordSlowdown: (worker: WorkerId, slowdown: number, load: number) => void;
    /**
     * Plans at most one step for each worker that has reported since the last call, besides lifting the throttling of
     * jobs that would otherwise miss their deadline.
     */
    readonly planMitigations: (pass: PlacementPass) => void;
}

/** Slowdown of urgent tasks above which batch tasks are throttled, as a share of the run time without neighbours. */
export function computeSlowdownLimit(pass: PlacementPass): number {
    const { tailLatencyWeight, batchThroughputWeight } = pass.memory.settings;
    const weights = tailLatencyWeight + batchThroughputWeight;
    return leastSlowdownLimit * (1 + (slowdownLimitGrowth - 1) * (weights > 0 ? batchThroughputWeight / weights : 0));
}

function listAggressors(pass: PlacementPass, view: WorkerView): Aggressor[] {
    const { slowdowns, inFlight } = pass.memory;
    const urgent = [...view.placed.values()].filter(task => getTaskClass(task.kind) === "latencyCritical");
    return [...view.placed.values()].flatMap(taskView => {
        const task = pass.state.tasks.get(taskView.id);
        const spec = pass.state.works.get(taskView.work)?.spec;
        const movable = task?.phase === "running" && !inFlight.hasTask(taskView.id);
        if (task === undefined || spec === undefined || !movable || getTaskClass(taskView.kind) !== "batch") {
            return [];
        }
        const classId = slowdowns.findClassId(taskView.interferenceClass);
        const slowdown = urgent.reduce(
            (sum, victim) => sum + slowdowns.estimateAdded(slowdowns.findClassId(victim.interferenceClass), classId),
            0,
        );
        return [{ task, spec, addedSlowdown: slowdown * task.throttlePercent / 100 }];
    });
}

function throttle(pass: PlacementPass, task: TaskRecord, percent: number): void {
    pass.addDecision({ kind: "throttleTask", task: task.id, token: task.token, percent });
}

/** The next lower or higher step of throttling; undefined at the end. */
function findStep(percent: number, direction: 1 | -1): number | undefined {
    const position = throttleSteps.findIndex(step => step <= percent);
    return throttleSteps[(position === -1 ? throttleSteps.length - 1 : position) + direction];
}

function compareIds(left: Aggressor, right: Aggressor): number {
    return left.task.id < right.task.id ? -1 : 1;
}

/** Whether throttling gains more tail latency than it costs batch throughput, and the job still meets its deadline. */
function isWorthThrottling(pass: PlacementPass, aggressor: Aggressor): boolean {
    const { tailLatencyWeight, batchThroughputWeight } = pass.memory.settings;
    const { task, addedSlowdown } = aggressor;
    const percent = findStep(task.throttlePercent, 1);
    return percent !== undefined
        && tailLatencyWeight * addedSlowdown > batchThroughputWeight * task.throttlePercent / 100
        && canMeetDeadlineThrottled(pass, aggressor, percent);
}

/** Whether a job throttled to `percent` can meet its deadline with a margin; other work has no deadline. */
function canMeetDeadlineThrottled(pass: PlacementPass, { spec, task }: Aggressor, percent: number): boolean {
    if (spec.kind !== "job" || spec.deadlineAtMs === undefined) {
        return true;
    }
    const runMs = pass.memory.runTimes.estimateLongRunMs(spec);
    const ranMs = task.startedAtMs === undefined ? 0 : Math.max(0, pass.nowMs - task.startedAtMs);
    const leftMs = Math.max(runMs * leastLeftShare, runMs - ranMs * progressShare);
    return spec.deadlineAtMs - pass.nowMs >= leftMs * 100 / percent + runMs * leastLeftShare;
}

/** Whether a job can meet its deadline when it is evicted and starts again; other work has no deadline. */
function canMeetDeadlineAfterRestart(pass: PlacementPass, { spec }: Aggressor): boolean {
    return spec.kind !== "job" || spec.deadlineAtMs === undefined
        || spec.deadlineAtMs - pass.nowMs >= restartedRuns * pass.memory.runTimes.estimateLongRunMs(spec);
}

/**
 * Throttles the task that adds the largest slowdown among those worth throttling. Without any, and if `mayEvict`,
 * evicts the task that loses least relative to the slowdown that it would add unthrottled. Returns whether it did
 * either.
 */
function throttleOrEvict(pass: PlacementPass, view: WorkerView, mayEvict: boolean): boolean {
    const aggressors = listAggressors(pass, view).sort((left, right) =>
        right.addedSlowdown - left.addedSlowdown || compareIds(left, right)
    );
    const worst = aggressors.find(aggressor => isWorthThrottling(pass, aggressor));
    const percent = worst === undefined ? undefined : findStep(worst.task.throttlePercent, 1);
    if (worst !== undefined && percent !== undefined) {
        throttle(pass, worst.task, percent);
        return true;
    }
    const { evictionWeight, tailLatencyWeight } = pass.memory.settings;
    const computeUnthrottledSlowdown = ({ task, addedSlowdown }: Aggressor): number =>
        addedSlowdown * 100 / Math.max(1, task.throttlePercent);
    const rankLoss = (aggressor: Aggressor): number =>
        estimateEvictionLoss(aggressor.task, aggressor.spec, pass.nowMs) / computeUnthrottledSlowdown(aggressor);
    const [victim] = aggressors.filter(aggressor =>
        computeUnthrottledSlowdown(aggressor) >= leastEvictionSlowdown && canMeetDeadlineAfterRestart(pass, aggressor)
    )
        .sort((left, right) => rankLoss(left) - rankLoss(right) || compareIds(left, right));
    return mayEvict && victim !== undefined && tailLatencyWeight >= evictionWeight
        && evictTask(pass, victim.task.id, `slows down urgent tasks on ${view.record.id}`);
}

/** Lifts the throttling of jobs that would otherwise miss their deadline. */
function releaseLateJobs(pass: PlacementPass, view: WorkerView): void {
    const hasThrottled = [...view.placed.keys()].some(id => (pass.state.tasks.get(id)?.throttlePercent ?? 100) < 100);
    for (const aggressor of hasThrottled ? listAggressors(pass, view) : []) {
        const { task } = aggressor;
        if (task.throttlePercent < 100 && !canMeetDeadlineThrottled(pass, aggressor, task.throttlePercent)) {
            throttle(pass, task, 100);
        }
    }
}

/** Lifts the throttling of the task that adds the smallest slowdown by one step. */
function releaseThrottling(pass: PlacementPass, view: WorkerView): boolean {
    const [mildest] = listAggressors(pass, view).filter(({ task }) => task.throttlePercent < 100)
        .sort((left, right) => left.addedSlowdown - right.addedSlowdown || compareIds(left, right));
    const percent = mildest === undefined ? undefined : findStep(mildest.task.throttlePercent, -1);
    if (mildest === undefined || percent === undefined) {
        return false;
    }
    throttle(pass, mildest.task, percent);
    return true;
}

/** Creates a mitigator without any history. */
export function createInterferenceMitigator(): InterferenceMitigator {
    const workers = new Map<WorkerId, WorkerMitigation>();
    const reported = new Map<WorkerId, { readonly slowdown: number; readonly load: number; }>();

    function updateWorker(worker: WorkerId, slowdown: number, slowdownLimit: number): WorkerMitigation {
        const known = workers.get(worker) ?? { slowdown, reportsAbove: 0, reportsBelow: 0, steppedAtMs: -Infinity };
        workers.set(worker, known);
        known.slowdown = (known.slowdown + slowdown) / 2;
        known.reportsAbove = known.slowdown > slowdownLimit ? known.reportsAbove + 1 : 0;
        known.reportsBelow = known.slowdown < slowdownLimit * releaseShare ? known.reportsBelow + 1 : 0;
        return known;
    }

    function planWorker(pass: PlacementPass, view: WorkerView, known: WorkerMitigation): void {
        releaseLateJobs(pass, view);
        if (Math.abs(pass.nowMs - known.steppedAtMs) < stepIntervalMs) {
            return;
        }
        const stepped = known.reportsAbove >= reportsBeforeStep
            ? throttleOrEvict(pass, view, known.slowdown > evictionFactor * computeSlowdownLimit(pass))
            : known.reportsBelow >= reportsBeforeStep && releaseThrottling(pass, view);
        if (stepped) {
            known.steppedAtMs = pass.nowMs;
            known.reportsAbove = 0;
            known.reportsBelow = 0;
        }
    }

    return {
        recordSlowdown: (worker, slowdown, load) => {
            reported.set(worker, { slowdown, load });
        },
        planMitigations: pass => {
            const slowdownLimit = computeSlowdownLimit(pass);
            const highUse = pass.memory.settings.highUsePercent / 100;
            for (const [worker, { slowdown, load }] of reported) {
                const view = pass.memory.views.findView(worker);
                if (view === undefined) {
                    workers.delete(worker);
                    continue;
                }
                planWorker(
                    pass,
                    view,
                    updateWorker(worker, slowdown, load > highUse ? slowdownLimit * highUseShare : slowdownLimit),
                );
            }
            reported.clear();
        },
    };
}
