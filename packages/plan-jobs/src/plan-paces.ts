import type { WorkerState } from "@chestnutspool/job-state";
import type { InterferenceModel, PairEstimate } from "@chestnutspool/learn-interference";
import type { RunStatus, RunStatuses } from "@chestnutspool/track-workers";
import { computeMarginGoal, predictMarginOfPairs } from "./predict-margin.js";

/** Margin (target / tail latency) below which neighbours are slowed down. */
const lowMargin = 1;
/** Margin that must remain when neighbours are sped up again; above `lowMargin`, so that paces do not oscillate. */
const wantedMargin = 1.1;
/** How far ahead the headroom is predicted, in milliseconds, because readings lag and a change of pace takes time. */
const lookAheadMs = 800;
/** How finely paces are planned: coarse ones waste some idle processors, and change less often. */
export type PaceDetail = "fine" | "coarse";

/** Smallest change of a pace, in percent. */
const paceStepPercent: Readonly<Record<PaceDetail, number>> = { fine: 20, coarse: 50 };
const fullPacePercent = 100;

/** A new pace of a run, as a percentage of its full speed. */
export interface PaceChange {
    readonly runKey: string;
    readonly percent: number;
}

interface BestEffortRun {
    readonly runKey: string;
    /** Position of its image in the images of the worker. */
    readonly image: number;
    /** Share of the worker's processors that the run uses at full pace. */
    readonly fullShare: number;
    readonly status: RunStatus;
    percent: number;
}

/** Best-effort runs on a worker. */
interface BestEffortRuns {
    readonly runs: readonly BestEffortRun[];
    readonly images: readonly string[];
    /** Share of the worker that each image uses; overwritten by each prediction. */
    readonly shares: number[];
}

interface ServingImage {
    /** Expected margin of its tasks without best-effort neighbours. */
    readonly headroom: number;
    /** Its pairs with the images of the best-effort runs. */
    readonly pairs: readonly PairEstimate[];
}

function listBestEffortRuns(state: WorkerState, statuses: RunStatuses): BestEffortRuns {
    const runs: BestEffortRun[] = [];
    const images: string[] = [];
    const capacity = Math.max(1, state.info.capacity.milliCpu);
    for (const [runKey, { step }] of state.runs) {
        const status = step.spec.usesIdleCpu ? statuses.get(runKey) : undefined;
        if (status !== undefined) {
            const name = step.spec.image ?? "";
            const known = images.indexOf(name);
            const image = known === -1 ? images.push(name) - 1 : known;
            const fullShare = step.spec.resources.milliCpu / capacity;
            runs.push({ runKey, image, fullShare, status, percent: status.pacePercent });
        }
    }
    return { runs, images, shares: images.map(() => 0) };
}

function listServingImages(
    state: WorkerState,
    images: readonly string[],
    interference: InterferenceModel,
): ServingImage[] {
    const headrooms = new Map<string, number>();
    for (const { job, step } of state.runs.values()) {
        if (step.spec.tailTargetMs !== undefined) {
            const image = step.spec.image ?? "";
            const headroom = interference.predictHeadroom(job.id, lookAheadMs);
            headrooms.set(image, Math.min(headrooms.get(image) ?? Number.POSITIVE_INFINITY, headroom));
        }
    }
    return [...headrooms].map(([image, headroom]) => ({
        headroom,
        pairs: images.map(other => interference.estimatePair(image, other)),
    }));
}

function predictPacedMargin(serving: ServingImage, { runs, shares }: BestEffortRuns): number {
    shares.fill(0);
    for (const { image, fullShare, percent } of runs) {
        shares[image] = (shares[image] ?? 0) + fullShare * percent / fullPacePercent;
    }
    return predictMarginOfPairs(serving.headroom, serving.pairs, shares);
}

/** Finds the run that lowers the margin of a serving task most. */
function findMostDisturbing(serving: ServingImage, { runs }: BestEffortRuns): BestEffortRun | undefined {
    let mostDisturbing: BestEffortRun | undefined;
    let largestDisturbance = 0;
    for (const run of runs) {
        const pair = serving.pairs[run.image];
        const disturbance = pair === undefined
            ? 0
            : (pair.disturbance + Math.sqrt(pair.variance)) * run.fullShare * run.percent / fullPacePercent;
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
    bestEffort: BestEffortRuns,
    stepPercent: number,
): void {
    for (const serving of servingImages) {
        if (predictPacedMargin(serving, bestEffort) >= computeMarginGoal(serving.headroom, lowMargin)) {
            continue;
        }
        const goal = computeMarginGoal(serving.headroom, wantedMargin);
        for (
            let mostDisturbing = findMostDisturbing(serving, bestEffort);
            mostDisturbing !== undefined && predictPacedMargin(serving, bestEffort) < goal;
            mostDisturbing = findMostDisturbing(serving, bestEffort)
        ) {
            mostDisturbing.percent = Math.max(0, mostDisturbing.percent - stepPercent);
        }
    }
}

/** Raises the pace of slowed neighbours as long as every serving task is expected to stay above its target. */
function raisePace(servingImages: readonly ServingImage[], bestEffort: BestEffortRuns, stepPercent: number): void {
    const goals = servingImages.map(({ headroom }) => computeMarginGoal(headroom, wantedMargin));
    for (const run of bestEffort.runs) {
        while (run.percent < fullPacePercent) {
            const before = run.percent;
            run.percent = Math.min(fullPacePercent, before + stepPercent);
            if (
                servingImages.some((serving, position) =>
                    predictPacedMargin(serving, bestEffort) < (goals[position] ?? 0)
                )
            ) {
                run.percent = before;
                break;
            }
        }
    }
}

/**
 * Plans the paces of the best-effort tasks on a worker. Those that disturb a serving task most are slowed down before
 * it exceeds its target, and are sped up again once its margin allows it. A pace that the worker may not have is ordered again.
 */
export function planPaces(
    state: WorkerState,
    statuses: RunStatuses,
    interference: InterferenceModel,
    detail: PaceDetail,
): PaceChange[] {
    const stepPercent = paceStepPercent[detail];
    const bestEffort = listBestEffortRuns(state, statuses);
    const { runs } = bestEffort;
    if (runs.length === 0) {
        return [];
    }
    const servingImages = listServingImages(state, bestEffort.images, interference);
    slowNeighbours(servingImages, bestEffort, stepPercent);
    if (runs.every(run => run.percent === run.status.pacePercent)) {
        raisePace(servingImages, bestEffort, stepPercent);
    }
    return runs
        .filter(({ percent, status: { pacePercent, isPaceUncertain, isPaceOrdered } }) =>
            percent !== pacePercent || (isPaceUncertain && !isPaceOrdered)
        )
        .map(({ runKey, percent }) => ({ runKey, percent }));
}
