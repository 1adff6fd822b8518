import type { WorkerRun, WorkerState } from "@chestnutspool/job-state";
import type { PlannedJob } from "./generate-jobs.js";
import type { JobKind, Load } from "./load.js";
import type { Random } from "./random.js";

/** A run on a simulated worker. */
export interface SimulatedRun {
    readonly run: WorkerRun;
    readonly job: PlannedJob;
    readonly startedAtMs: number;
    readonly workMs: number;
    doneMs: number;
    /** Share of the declared processors that it uses when nothing holds it back. */
    readonly useShare: number;
    /** Share of the work after which it fails; undefined when it does not. */
    readonly failsAt: number | undefined;
    percent: number;
    /** Place of its swing of disturbance, from 0 to 1. */
    readonly phase: number;
    /** Processor time in use, in thousandths of a core. */
    milliCpu: number;
    /** Tail of the response time of a serving task, in milliseconds. */
    tailMs: number;
    /** The tail is over its target because of the tasks beside it. */
    isHarmed: boolean;
}

/** Interval at which a worker reads the tails, in milliseconds; each reading counts half of the last one. */
const readingMs = 240;
/** Part by which the disturbance by one task swings, and for how long, in milliseconds. */
const pressureSwing = 0.5;
const pressureSwingMs = 2_700;
/** Largest factor by which a tail grows on a saturated worker. */
const largestTailFactor = 70;

/** Resources beside processors that tasks on one worker compete for, such as caches and memory bandwidth. */
const sharedResources = 3;

/**
 * Disturbance of each pair of images, drawn once for a replay. Some images press on one shared resource; each serving image is
 * sensitive to one of them or more.
 */
export function drawDisturbances(load: Load, random: Random): (image: string, other: string) => number {
    const pressedByImage = new Map<string, number | undefined>();
    const sensitiveByImage = new Map<string, readonly number[]>();
    const readPressed = (image: string): number | undefined => {
        if (!pressedByImage.has(image)) {
            const presses = random.readShare() < load.heavyShare;
            pressedByImage.set(image, presses ? Math.floor(random.readShare() * sharedResources) : undefined);
        }
        return pressedByImage.get(image);
    };
    const readSensitive = (image: string): readonly number[] => {
        const first = Math.floor(random.readShare() * sharedResources);
        const second = random.readShare() < 0.4 ? (first + 1) % sharedResources : first;
        const known = sensitiveByImage.get(image) ?? [first, second];
        sensitiveByImage.set(image, known);
        return known;
    };
    return (image, other) => {
        const pressed = readPressed(other);
        return pressed !== undefined && readSensitive(image).includes(pressed) ? load.harmful : load.harmless;
    };
}

/** The load of a serving job at a time, as a share of its processors. */
export function computeLoad(kind: JobKind, phase: number, nowMs: number): number {
    if (kind.character.kind !== "serving") {
        return 1;
    }
    const { load, swing, swingMs } = kind.character;
    return load * (1 + swing * Math.sin(2 * Math.PI * (nowMs / swingMs + phase)));
}

/** Advances the runs of one worker by a time step. */
export function advanceWorker(
    state: WorkerState,
    runs: readonly SimulatedRun[],
    findDisturbance: (image: string, other: string) => number,
    nowMs: number,
    stepMs: number,
): void {
    const capacity = state.info.capacity.milliCpu;
    let idle = capacity;
    for (const run of runs) {
        const { spec } = run.run.step;
        if (!spec.usesIdleCpu) {
            run.milliCpu = spec.resources.milliCpu * computeLoad(run.job.kind, run.job.phase, nowMs);
            idle -= run.milliCpu;
        }
    }
    const uses = new Map<string, number>();
    for (const run of runs) {
        const { spec } = run.run.step;
        if (spec.usesIdleCpu) {
            const paced = spec.resources.milliCpu * run.useShare * run.percent / 100;
            run.milliCpu = Math.min(paced, Math.max(0, idle));
            idle -= run.milliCpu;
            const swing = 1 + pressureSwing * Math.sin(2 * Math.PI * (nowMs / pressureSwingMs + run.phase));
            uses.set(spec.image ?? "", (uses.get(spec.image ?? "") ?? 0) + run.milliCpu * swing / capacity);
            run.doneMs += stepMs * run.milliCpu / (spec.resources.milliCpu * run.useShare);
        }
        else {
            run.doneMs += stepMs;
        }
    }
    for (const run of runs) {
        const { character } = run.job.kind;
        if (character.kind === "serving") {
            const load = computeLoad(run.job.kind, run.job.phase, nowMs);
            let pressure = 0;
            for (const [image, use] of uses) {
                pressure += findDisturbance(run.run.step.spec.image ?? "", image) * use;
            }
            const left = Math.max(1 / largestTailFactor, 1 - load - pressure);
            if (nowMs % readingMs === 0) {
                const tailMs = character.tailMs / left;
                run.tailMs = run.tailMs === 0 ? tailMs : (run.tailMs + tailMs) / 2;
            }
            run.isHarmed = run.tailMs > character.targetMs;
        }
    }
}
