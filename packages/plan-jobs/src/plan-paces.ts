import type { WorkerState } from "@chestnutspool/job-state";
import type { InterferenceModel } from "@chestnutspool/learn-interference";
import type { RunView, RunViews } from "@chestnutspool/track-workers";

/** Margin (target / tail) below which neighbours are slowed down. */
const lowMargin = 1.1;
/** Margin at which neighbours are left or let go again; above `lowMargin`, so that paces do not change to and fro. */
const wantedMargin = 1.35;
/** Least share of its speed that a slowed task keeps while it is not the only cause, in percent. */
const paceStepPercent = 25;
const fullPacePercent = 100;

/** A change of the share of its speed that a run keeps. */
export interface PaceChange {
    readonly runKey: string;
    readonly percent: number;
}

interface FillingRun {
    readonly runKey: string;
    readonly image: string;
    /** Share of the worker's processors that it uses at full pace. */
    readonly fullShare: number;
    readonly view: RunView;
    percent: number;
}

interface ServingRun {
    readonly image: string;
    /** Margin that the report shows. */
    readonly margin: number;
    /** Margin that it would have without neighbours that use idle processors. */
    readonly headroom: number;
}

function listFilling(state: WorkerState, views: RunViews): FillingRun[] {
    const filling: FillingRun[] = [];
    const capacity = Math.max(1, state.info.capacity.milliCpu);
    for (const [runKey, { step }] of state.runs) {
        const view = views.get(runKey);
        if (view === undefined || !step.spec.usesIdleCpu) {
            continue;
        }
        const fullShare = step.spec.resources.milliCpu / capacity;
        filling.push({ runKey, image: step.spec.image ?? "", fullShare, view, percent: view.pacePercent });
    }
    return filling;
}

function computeShare(run: FillingRun): number {
    return run.fullShare * run.percent / fullPacePercent;
}

function listServing(
    state: WorkerState,
    views: RunViews,
    filling: readonly FillingRun[],
    interference: InterferenceModel,
): ServingRun[] {
    const serving: ServingRun[] = [];
    for (const [runKey, { step }] of state.runs) {
        const view = views.get(runKey);
        const { tailTargetMs, image = "" } = step.spec;
        if (tailTargetMs === undefined || view?.lastReading === undefined || view.lastReading <= 0) {
            continue;
        }
        const margin = tailTargetMs / view.lastReading;
        const pressure = filling.reduce(
            (sum, run) => sum + interference.estimateDisturbance(image, run.image) * computeShare(run),
            0,
        );
        serving.push({ image, margin, headroom: margin + pressure });
    }
    return serving;
}

function predictMargin(task: ServingRun, filling: readonly FillingRun[], interference: InterferenceModel): number {
    return filling.reduce(
        (margin, run) => margin - interference.estimateDisturbance(task.image, run.image) * computeShare(run),
        task.headroom,
    );
}

/** The run that takes most from a serving task. */
function findWorst(task: ServingRun, filling: readonly FillingRun[], interference: InterferenceModel) {
    let worst: FillingRun | undefined;
    let worstHarm = 0;
    for (const run of filling) {
        const harm = interference.estimateDisturbance(task.image, run.image) * computeShare(run);
        if (harm > worstHarm) {
            worst = run;
            worstHarm = harm;
        }
    }
    return worst;
}

/** Slows the most harmful neighbours down until every serving task is expected to keep its target. */
function slowDown(serving: readonly ServingRun[], filling: readonly FillingRun[], model: InterferenceModel): void {
    for (const task of serving) {
        if (task.margin >= lowMargin) {
            continue;
        }
        while (predictMargin(task, filling, model) < wantedMargin) {
            const worst = findWorst(task, filling, model);
            if (worst === undefined) {
                break;
            }
            worst.percent = Math.max(0, worst.percent - paceStepPercent);
        }
    }
}

/** Lets slowed neighbours go faster as far as every serving task is expected to keep more than its target. */
function speedUp(serving: readonly ServingRun[], filling: readonly FillingRun[], model: InterferenceModel): void {
    for (const run of filling) {
        while (run.percent < fullPacePercent) {
            const before = run.percent;
            run.percent = Math.min(fullPacePercent, before + paceStepPercent);
            if (serving.some(task => predictMargin(task, filling, model) < wantedMargin)) {
                run.percent = before;
                break;
            }
        }
    }
}

/**
 * Plans the paces of the tasks that use idle processors on a worker, after a report. A serving task near its target slows down
 * those that disturb it most; once there is margin they are let go again.
 */
export function planPaces(state: WorkerState, views: RunViews, interference: InterferenceModel): PaceChange[] {
    const filling = listFilling(state, views);
    if (filling.length === 0) {
        return [];
    }
    const serving = listServing(state, views, filling, interference);
    if (serving.some(task => task.margin < lowMargin)) {
        slowDown(serving, filling, interference);
    }
    else {
        speedUp(serving, filling, interference);
    }
    return filling
        .filter(run => run.percent !== run.view.pacePercent)
        .map(({ runKey, percent }) => ({ runKey, percent }));
}
