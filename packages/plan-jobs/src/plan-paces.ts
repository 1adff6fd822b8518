import type { WorkerState } from "@chestnutspool/job-state";
import type { InterferenceModel } from "@chestnutspool/learn-interference";
import type { RunView, RunViews } from "@chestnutspool/track-workers";
import { computeMarginGoal, predictMargin } from "./predict-margin.js";

/** Margin (target / tail) below which neighbours are slowed down. */
const lowMargin = 1;
/** Margin up to which neighbours are let go again; above `lowMargin`, so that paces do not change to and fro. */
const wantedMargin = 1.1;
/** How far ahead the load is looked at, in milliseconds: readings lag, and an order on pace takes a while. */
const lookAheadMs = 800;
/** Smallest change of a pace, in percent. */
const paceStepPercent = 20;
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

interface ServingImage {
    readonly image: string;
    /** Margin that it is expected to have without neighbours that use idle processors. */
    readonly headroom: number;
}

function listFilling(state: WorkerState, views: RunViews): FillingRun[] {
    const filling: FillingRun[] = [];
    const capacity = Math.max(1, state.info.capacity.milliCpu);
    for (const [runKey, { step }] of state.runs) {
        const view = views.get(runKey);
        if (view !== undefined && step.spec.usesIdleCpu) {
            const fullShare = step.spec.resources.milliCpu / capacity;
            filling.push({ runKey, image: step.spec.image ?? "", fullShare, view, percent: view.pacePercent });
        }
    }
    return filling;
}

function listServing(state: WorkerState, interference: InterferenceModel): ServingImage[] {
    const headrooms = new Map<string, number>();
    for (const { job, step } of state.runs.values()) {
        if (step.spec.tailTargetMs !== undefined) {
            const image = step.spec.image ?? "";
            const headroom = interference.predictHeadroom(job.id, lookAheadMs);
            headrooms.set(image, Math.min(headrooms.get(image) ?? Number.POSITIVE_INFINITY, headroom));
        }
    }
    return [...headrooms].map(([image, headroom]) => ({ image, headroom }));
}

function computeHarm(serving: ServingImage, run: FillingRun, interference: InterferenceModel): number {
    const pair = interference.estimatePair(serving.image, run.image);
    return (pair.disturbance + Math.sqrt(pair.variance)) * run.fullShare * run.percent / fullPacePercent;
}

function predictPacedMargin(serving: ServingImage, filling: readonly FillingRun[], model: InterferenceModel): number {
    const shares = new Map<string, number>();
    for (const run of filling) {
        const share = run.fullShare * run.percent / fullPacePercent;
        shares.set(run.image, (shares.get(run.image) ?? 0) + share);
    }
    return predictMargin(serving.image, serving.headroom, shares, model);
}

/** The run that takes most from a serving task. */
function findWorst(serving: ServingImage, filling: readonly FillingRun[], model: InterferenceModel) {
    let worst: FillingRun | undefined;
    let worstHarm = 0;
    for (const run of filling) {
        const harm = computeHarm(serving, run, model);
        if (harm > worstHarm) {
            worst = run;
            worstHarm = harm;
        }
    }
    return worst;
}

/** Slows the most harmful neighbours down until every serving task is expected to keep its target. */
function slowDown(serving: readonly ServingImage[], filling: readonly FillingRun[], model: InterferenceModel): void {
    for (const image of serving) {
        if (
            predictPacedMargin(image, filling, model)
                >= computeMarginGoal(image.image, image.headroom, lowMargin, model)
        ) {
            continue;
        }
        const goal = computeMarginGoal(image.image, image.headroom, wantedMargin, model);
        for (
            let worst = findWorst(image, filling, model);
            worst !== undefined && predictPacedMargin(image, filling, model) < goal;
            worst = findWorst(image, filling, model)
        ) {
            worst.percent = Math.max(0, worst.percent - paceStepPercent);
        }
    }
}

/** Lets slowed neighbours go faster as far as every serving task is expected to keep more than its target. */
function raisePace(serving: readonly ServingImage[], filling: readonly FillingRun[], model: InterferenceModel): void {
    const goals = serving.map(image => computeMarginGoal(image.image, image.headroom, wantedMargin, model));
    for (const run of filling) {
        while (run.percent < fullPacePercent) {
            const before = run.percent;
            run.percent = Math.min(fullPacePercent, before + paceStepPercent);
            if (serving.some((image, position) => predictPacedMargin(image, filling, model) < (goals[position] ?? 0))) {
                run.percent = before;
                break;
            }
        }
    }
}

/**
 * Plans the paces of the tasks that use idle processors on a worker. Those that disturb a serving task most are slowed down
 * before it passes its target, and let go again once there is margin.
 */
export function planPaces(state: WorkerState, views: RunViews, interference: InterferenceModel): PaceChange[] {
    const filling = listFilling(state, views);
    if (filling.length === 0) {
        return [];
    }
    const serving = listServing(state, interference);
    slowDown(serving, filling, interference);
    if (filling.every(run => run.percent === run.view.pacePercent)) {
        raisePace(serving, filling, interference);
    }
    return filling
        .filter(run => run.percent !== run.view.pacePercent)
        .map(({ runKey, percent }) => ({ runKey, percent }));
}
