import type { TaskRecord, WorkerId, WorkSpec } from "@chestnutspool/types";
import { evictTask, type PlacementPass } from "./pass.js";
import { estimateEvictionLoss } from "./reclaim.js";
import { getTaskClass, type WorkerView } from "./worker-views.js";

/** Slowdown of urgent tasks that is accepted when only tail latency has a weight, as a share of the speed alone. */
const leastTolerance = 0.5;
/** Growth of the accepted slowdown when only batch throughput has a weight. */
const toleranceGrowth = 3;
/** Share of the accepted slowdown below which throttling is lifted again; the gap is the hysteresis. */
const releaseShare = 0.5;
/** Reports in a row above or below the limit before a step is taken, so that one noisy report does nothing. */
const reportsBeforeStep = 2;
/** Steps of throttling, in percent of the processor time. */
const throttleSteps = [100, 50, 25] as const;
/** Time between two steps on one worker in milliseconds: a report that shows the last step must have arrived. */
const stepIntervalMs = 12_000;
/** Share of the accepted slowdown that is left on a worker above its high-use limit, where bursts find no room. */
const highUseShare = 0.7;
/** Slowdown above which a task may be evicted, as a multiple of the accepted one. */
const evictionFactor = 2;
/** Least part of the slowdown that a batch task must cause before it is evicted, as a share of the speed alone. */
const evictionHarm = 0.2;

/** Progress of a running task as a share of the time that it ran, because neighbours and throttling slow it down. */
const progressShare = 0.6;
/** Least part of a run that is assumed to be left, as a share of the run time; also the margin before a deadline. */
const leastLeftShare = 0.25;
/** Run times that a job must have left when it is evicted and starts again. */
const restartedRuns = 3;

/** State of the mitigation of one worker. */
interface WorkerMitigation {
    /** Decaying mean of the slowdown of the urgent tasks. */
    slowdown: number;
    above: number;
    below: number;
    steppedAtMs: number;
}

/** A batch task that runs beside urgent ones. */
interface Aggressor {
    readonly task: TaskRecord;
    readonly spec: WorkSpec;
    /** Slowdown that it adds to the urgent tasks together at its present throttling. */
    readonly harm: number;
}

/** Slows down or moves batch work that hurts urgent tasks. */
export interface InterferenceMitigator {
    /** Takes the mean slowdown of the urgent tasks of a worker and its load, 1 being its processors, from one report. */
    readonly recordSlowdown: (worker: WorkerId, slowdown: number, load: number) => void;
    /** Plans at most one step for each worker that had reports since its last one. */
    readonly planMitigations: (pass: PlacementPass) => void;
}

/** Slowdown of urgent tasks above which batch work is throttled, as a share of the speed alone. */
export function computeSlowdownLimit(pass: PlacementPass): number {
    const { tailLatencyWeight, batchThroughputWeight } = pass.memory.settings;
    const weights = tailLatencyWeight + batchThroughputWeight;
    return leastTolerance * (1 + (toleranceGrowth - 1) * (weights > 0 ? batchThroughputWeight / weights : 0));
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
        const harm = urgent.reduce(
            (sum, victim) => sum + slowdowns.estimateAdded(slowdowns.findClassId(victim.interferenceClass), classId),
            0,
        );
        return [{ task, spec, harm: harm * task.throttlePercent / 100 }];
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

/** Whether a throttling gains more tail latency than it costs batch throughput, and the job stays on time. */
function isWorthThrottling(pass: PlacementPass, aggressor: Aggressor): boolean {
    const { tailLatencyWeight, batchThroughputWeight } = pass.memory.settings;
    const { task, harm } = aggressor;
    const percent = findStep(task.throttlePercent, 1);
    return percent !== undefined && tailLatencyWeight * harm > batchThroughputWeight * task.throttlePercent / 100
        && hasTimeThrottled(pass, aggressor, percent);
}

/** Whether a job can still be on time at a share of its speed, with a margin; other work has no deadline. */
function hasTimeThrottled(pass: PlacementPass, { spec, task }: Aggressor, percent: number): boolean {
    if (spec.kind !== "job" || spec.deadlineAtMs === undefined) {
        return true;
    }
    const runMs = pass.memory.runTimes.estimateLongRunMs(spec);
    const ranMs = task.startedAtMs === undefined ? 0 : Math.max(0, pass.nowMs - task.startedAtMs);
    const leftMs = Math.max(runMs * leastLeftShare, runMs - ranMs * progressShare);
    return spec.deadlineAtMs - pass.nowMs >= leftMs * 100 / percent + runMs * leastLeftShare;
}

/** Whether a job can still be on time when it starts again; other work has no deadline. */
function hasTimeAgain(pass: PlacementPass, { spec }: Aggressor): boolean {
    return spec.kind !== "job" || spec.deadlineAtMs === undefined
        || spec.deadlineAtMs - pass.nowMs >= restartedRuns * pass.memory.runTimes.estimateLongRunMs(spec);
}

/** Throttles the task that hurts most; when all are throttled, moves the one that loses least for the harm it does. */
function tighten(pass: PlacementPass, view: WorkerView, mayEvict: boolean): boolean {
    const aggressors = listAggressors(pass, view).sort((left, right) =>
        right.harm - left.harm || compareIds(left, right)
    );
    const worst = aggressors.find(aggressor => isWorthThrottling(pass, aggressor));
    const percent = worst === undefined ? undefined : findStep(worst.task.throttlePercent, 1);
    if (worst !== undefined && percent !== undefined) {
        throttle(pass, worst.task, percent);
        return true;
    }
    const { evictionWeight, tailLatencyWeight } = pass.memory.settings;
    const unthrottledHarm = ({ task, harm }: Aggressor): number => harm * 100 / Math.max(1, task.throttlePercent);
    const rankLoss = (aggressor: Aggressor): number =>
        estimateEvictionLoss(aggressor.task, aggressor.spec, pass.nowMs) / unthrottledHarm(aggressor);
    const [victim] = aggressors.filter(aggressor =>
        unthrottledHarm(aggressor) >= evictionHarm && hasTimeAgain(pass, aggressor)
    )
        .sort((left, right) => rankLoss(left) - rankLoss(right) || compareIds(left, right));
    return mayEvict && victim !== undefined && tailLatencyWeight >= evictionWeight
        && evictTask(pass, victim.task.id, `slows down urgent tasks on ${view.record.id}`);
}

/** Lifts the throttling of jobs that would be late with it. */
function releaseLate(pass: PlacementPass, view: WorkerView): void {
    const hasThrottled = [...view.placed.keys()].some(id => (pass.state.tasks.get(id)?.throttlePercent ?? 100) < 100);
    for (const aggressor of hasThrottled ? listAggressors(pass, view) : []) {
        const { task } = aggressor;
        if (task.throttlePercent < 100 && !hasTimeThrottled(pass, aggressor, task.throttlePercent)) {
            throttle(pass, task, 100);
        }
    }
}

/** Lifts the throttling of the task that hurts least. */
function loosen(pass: PlacementPass, view: WorkerView): boolean {
    const [mildest] = listAggressors(pass, view).filter(({ task }) => task.throttlePercent < 100)
        .sort((left, right) => left.harm - right.harm || compareIds(left, right));
    const percent = mildest === undefined ? undefined : findStep(mildest.task.throttlePercent, -1);
    if (mildest === undefined || percent === undefined) {
        return false;
    }
    throttle(pass, mildest.task, percent);
    return true;
}

/** Creates mitigations without any history. */
export function createInterferenceMitigator(): InterferenceMitigator {
    const workers = new Map<WorkerId, WorkerMitigation>();
    const reported = new Map<WorkerId, { readonly slowdown: number; readonly load: number; }>();

    function updateWorker(worker: WorkerId, slowdown: number, tolerance: number): WorkerMitigation {
        const known = workers.get(worker) ?? { slowdown, above: 0, below: 0, steppedAtMs: -Infinity };
        workers.set(worker, known);
        known.slowdown = (known.slowdown + slowdown) / 2;
        known.above = known.slowdown > tolerance ? known.above + 1 : 0;
        known.below = known.slowdown < tolerance * releaseShare ? known.below + 1 : 0;
        return known;
    }

    function planWorker(pass: PlacementPass, view: WorkerView, known: WorkerMitigation): void {
        releaseLate(pass, view);
        if (Math.abs(pass.nowMs - known.steppedAtMs) < stepIntervalMs) {
            return;
        }
        const stepped = known.above >= reportsBeforeStep
            ? tighten(pass, view, known.slowdown > evictionFactor * computeSlowdownLimit(pass))
            : known.below >= reportsBeforeStep && loosen(pass, view);
        if (stepped) {
            known.steppedAtMs = pass.nowMs;
            known.above = 0;
            known.below = 0;
        }
    }

    return {
        recordSlowdown: (worker, slowdown, load) => {
            reported.set(worker, { slowdown, load });
        },
        planMitigations: pass => {
            const tolerance = computeSlowdownLimit(pass);
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
                    updateWorker(worker, slowdown, load > highUse ? tolerance * highUseShare : tolerance),
                );
            }
            reported.clear();
        },
    };
}
