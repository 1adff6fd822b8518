import type { WorkerRun, WorkerState } from "@chestnutspool/job-state";
import type { SimulatedJob } from "./generate-jobs.js";
import type { JobKind, Load } from "./load.js";
import type { Random } from "./random.js";
import type { RunDistance } from "./simulated-racks.js";

/** A run on a simulated worker. */
export interface SimulatedRun {
    readonly run: WorkerRun;
    readonly job: SimulatedJob;
    readonly startedAtMs: number;
    readonly distance: RunDistance;
    readonly workMs: number;
    doneMs: number;
    /** Whether it has ended on its worker, and the leader does not know it yet. */
    hasEnded?: boolean;
    /** When its stop was ordered; undefined before. */
    stopOrderedAtMs: number | undefined;
    /** Share of the declared processors that a run on idle processors uses at full pace when enough are idle. */
    readonly useShare: number;
    /** Share of the work after which the run fails; undefined when it does not fail. */
    readonly failsAfterShare: number | undefined;
    /** Pace that the planner has set, in percent of full speed. */
    percent: number;
    /** Phase of its disturbance oscillation, as a share of the period from 0 to 1. */
    readonly disturbancePhase: number;
    /** Processor time in use, in thousandths of a core. */
    milliCpu: number;
    /** Tail latency of a serving task, in milliseconds. */
    tailMs: number;
    /** The tail latency is over its target because of the other tasks on the worker. */
    isOverTarget: boolean;
}

/** Interval at which a worker reads tail latencies, in milliseconds. Each reading is averaged with the last value. */
const tailReadingIntervalMs = 240;
/** Amplitude of the oscillating disturbance by one task, as a share of its mean. */
const disturbanceAmplitude = 0.5;
/** Period of that oscillation, in milliseconds. */
const disturbancePeriodMs = 2_700;
/** Largest factor by which tail latency grows on a saturated worker. */
const largestTailFactor = 70;

/** Number of resources besides processors that tasks on one worker compete for, such as caches and memory bandwidth. */
const sharedResourceCount = 3;

/**
 * Draws the disturbance of each pair of images once for a replay. Some images put load on one shared resource; each
 * serving image is sensitive to one or two of them.
 */
export function drawDisturbances(load: Load, random: Random): (image: string, other: string) => number {
    const loadedResourceByImage = new Map<string, number | undefined>();
    const sensitivitiesByImage = new Map<string, readonly number[]>();
    const drawLoadedResource = (image: string): number | undefined => {
        if (!loadedResourceByImage.has(image)) {
            const isContending = random.drawShare() < load.contendingShare;
            loadedResourceByImage.set(
                image,
                isContending ? Math.floor(random.drawShare() * sharedResourceCount) : undefined,
            );
        }
        return loadedResourceByImage.get(image);
    };
    const drawSensitivities = (image: string): readonly number[] => {
        const first = Math.floor(random.drawShare() * sharedResourceCount);
        const second = random.drawShare() < 0.4 ? (first + 1) % sharedResourceCount : first;
        const known = sensitivitiesByImage.get(image) ?? [first, second];
        sensitivitiesByImage.set(image, known);
        return known;
    };
    return (image, other) => {
        const loadedResource = drawLoadedResource(other);
        return loadedResource !== undefined && drawSensitivities(image).includes(loadedResource)
            ? load.contendingDisturbance
            : load.otherDisturbance;
    };
}

/** Load of a serving job at a time, as a share of its processors; 1 for other jobs. */
export function computeLoad(kind: JobKind, phase: number, nowMs: number): number {
    if (kind.execution.kind !== "serving") {
        return 1;
    }
    const { load, loadAmplitude, loadPeriodMs } = kind.execution;
    return load * (1 + loadAmplitude * Math.sin(2 * Math.PI * (nowMs / loadPeriodMs + phase)));
}

/** Advances the runs of one worker by a time step; `speed` is that of the worker, 1 is normal. */
export function advanceWorker(
    state: WorkerState,
    runs: readonly SimulatedRun[],
    findDisturbance: (image: string, other: string) => number,
    nowMs: number,
    stepMs: number,
    speed: number,
): void {
    const capacity = state.info.capacity.milliCpu;
    let idle = capacity;
    for (const run of runs) {
        const { spec } = run.run.step;
        if (!spec.usesIdleCpu) {
            run.milliCpu = spec.resources.milliCpu * computeLoad(run.job.kind, run.job.loadPhase, nowMs);
            idle -= run.milliCpu;
        }
    }
    const cpuShareByImage = new Map<string, number>();
    for (const run of runs) {
        const { spec } = run.run.step;
        if (spec.usesIdleCpu) {
            const pacedMilliCpu = spec.resources.milliCpu * run.useShare * run.percent / 100;
            run.milliCpu = Math.min(pacedMilliCpu, Math.max(0, idle));
            idle -= run.milliCpu;
            const oscillation = 1
                + disturbanceAmplitude * Math.sin(2 * Math.PI * (nowMs / disturbancePeriodMs + run.disturbancePhase));
            cpuShareByImage.set(
                spec.image ?? "",
                (cpuShareByImage.get(spec.image ?? "") ?? 0) + run.milliCpu * oscillation / capacity,
            );
            run.doneMs += speed * stepMs * run.milliCpu / (spec.resources.milliCpu * run.useShare);
        }
        else {
            run.doneMs += speed * stepMs;
        }
    }
    for (const run of runs) {
        const { execution } = run.job.kind;
        if (execution.kind === "serving") {
            const load = computeLoad(run.job.kind, run.job.loadPhase, nowMs);
            let disturbance = 0;
            for (const [image, use] of cpuShareByImage) {
                disturbance += findDisturbance(run.run.step.spec.image ?? "", image) * use;
            }
            const headroom = Math.max(1 / largestTailFactor, 1 - load - disturbance);
            if (nowMs % tailReadingIntervalMs === 0) {
                const tailMs = execution.unloadedTailMs / headroom;
                run.tailMs = run.tailMs === 0 ? tailMs : (run.tailMs + tailMs) / 2;
            }
            run.isOverTarget = run.tailMs > execution.targetMs;
        }
    }
}
