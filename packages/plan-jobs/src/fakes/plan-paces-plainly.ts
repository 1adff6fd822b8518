/**
 * Plans paces by maps that are built for each prediction. Tests compare the planner of paces with it.
 */

import type { WorkerState } from "@chestnutspool/job-state";
import type { InterferenceModel } from "@chestnutspool/learn-interference";
import type { RunStatus, RunStatuses } from "@chestnutspool/track-workers";
import type { PaceChange } from "../plan-paces.js";
import { computeMarginGoal, predictMargin } from "./predict-margin-plainly.js";

/** Margin (target / tail latency) below which neighbours are slowed down. */
const lowMargin = 1;
/** Margin that must remain when neighbours are sped up again; above `lowMargin`, so that paces do not oscillate. */
const wantedMargin = 1.1;
/** How far ahead the headroom is predicted, in milliseconds, because readings lag and a change of pace takes time. */
const lookAheadMs = 800;
/** Smallest change of a pace, in percent. */
const paceStepPercent = 20;
const fullPacePercent = 100;

interface BestEffortRun {
    readonly runKey: string;
    readonly image: string;
    /** Share of the worker's processors that the run uses at full pace. */
    readonly fullShare: number;
    readonly status: RunStatus;
    percent: number;
}

interface ServingImage {
    readonly image: string;
    /** Expected margin of its tasks without best-effort neighbours. */
    readonly headroom: number;
}

function listBestEffortRuns(state: WorkerState, statuses: RunStatuses): BestEffortRun[] {
    const bestEffortRuns: BestEffortRun[] = [];
    const capacity = Math.max(1, state.info.capacity.milliCpu);
    for (const [runKey, { step }] of state.runs) {
        const status = statuses.get(runKey);
        if (status !== undefined && step.spec.usesIdleCpu) {
            const fullShare = step.spec.resources.milliCpu / capacity;
            bestEffortRuns.push({
                runKey,
                image: step.spec.image ?? "",
                fullShare,
                status,
                percent: status.pacePercent,
            });
        }
    }
    return bestEffortRuns;
}

function listServingImages(state: WorkerState, interference: InterferenceModel): ServingImage[] {
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

function computeDisturbance(serving: ServingImage, run: BestEffortRun, interference: InterferenceModel): number {
    const pair = interference.estimatePair(serving.image, run.image);
    return (pair.disturbance + Math.sqrt(pair.variance)) * run.fullShare * run.percent / fullPacePercent;
}

function predictPacedMargin(serving: ServingImage, runs: readonly BestEffortRun[], model: InterferenceModel): number {
    const shares = new Map<string, number>();
    for (const run of runs) {
        const share = run.fullShare * run.percent / fullPacePercent;
        shares.set(run.image, (shares.get(run.image) ?? 0) + share);
    }
    return predictMargin(serving.image, serving.headroom, shares, model);
}

/** Finds the run that lowers the margin of a serving task most. */
function findMostDisturbing(serving: ServingImage, runs: readonly BestEffortRun[], model: InterferenceModel) {
    let mostDisturbing: BestEffortRun | undefined;
    let largestDisturbance = 0;
    for (const run of runs) {
        const disturbance = computeDisturbance(serving, run, model);
        if (disturbance > largestDisturbance) {
            mostDisturbing = run;
            largestDisturbance = disturbance;
        }
    }
    return mostDisturbing;
}

/** Slows down the neighbours that disturb most until every serving task is expected to meet its target. */
function slowNeighbours(
    servingImages: readonly ServingImage[],
    runs: readonly BestEffortRun[],
    model: InterferenceModel,
): void {
    for (const image of servingImages) {
        if (
            predictPacedMargin(image, runs, model)
                >= computeMarginGoal(image.image, image.headroom, lowMargin, model)
        ) {
            continue;
        }
        const goal = computeMarginGoal(image.image, image.headroom, wantedMargin, model);
        for (
            let mostDisturbing = findMostDisturbing(image, runs, model);
            mostDisturbing !== undefined && predictPacedMargin(image, runs, model) < goal;
            mostDisturbing = findMostDisturbing(image, runs, model)
        ) {
            mostDisturbing.percent = Math.max(0, mostDisturbing.percent - paceStepPercent);
        }
    }
}

/** Raises the pace of slowed neighbours as long as every serving task is expected to stay above its target. */
function raisePace(
    servingImages: readonly ServingImage[],
    runs: readonly BestEffortRun[],
    model: InterferenceModel,
): void {
    const goals = servingImages.map(image => computeMarginGoal(image.image, image.headroom, wantedMargin, model));
    for (const run of runs) {
        while (run.percent < fullPacePercent) {
            const before = run.percent;
            run.percent = Math.min(fullPacePercent, before + paceStepPercent);
            if (
                servingImages.some((image, position) => predictPacedMargin(image, runs, model) < (goals[position] ?? 0))
            ) {
                run.percent = before;
                break;
            }
        }
    }
}

/**
 * Plans paces as `planPaces` does. Those that disturb a serving task most are slowed down before
 * it exceeds its target, and are sped up again once its margin allows it.
 */
export function planPacesPlainly(
    state: WorkerState,
    statuses: RunStatuses,
    interference: InterferenceModel,
): PaceChange[] {
    const bestEffortRuns = listBestEffortRuns(state, statuses);
    if (bestEffortRuns.length === 0) {
        return [];
    }
    const servingImages = listServingImages(state, interference);
    slowNeighbours(servingImages, bestEffortRuns, interference);
    if (bestEffortRuns.every(run => run.percent === run.status.pacePercent)) {
        raisePace(servingImages, bestEffortRuns, interference);
    }
    return bestEffortRuns
        .filter(run => run.percent !== run.status.pacePercent)
        .map(({ runKey, percent }) => ({ runKey, percent }));
}
