import type { JobDefinition, StepSpec } from "@chestnutspool/types";
import type { HotRack, JobKind, Load } from "./load.js";
import type { Random } from "./random.js";

/** A job of the replay, including the true figures that the planner does not see. */
export interface SimulatedJob {
    readonly kind: JobKind;
    readonly definition: JobDefinition;
    readonly arrivesAtMs: number;
    /** True run time of each task of each step, in milliseconds at full speed; start-up time of a serving task. */
    readonly workMs: readonly (readonly number[])[];
    /** When the caller cancels the job; undefined for jobs that end by themselves. */
    readonly cancelAtMs: number | undefined;
    /** Phase of its load oscillation, as a share of the period from 0 to 1. */
    readonly loadPhase: number;
}

/** Largest number of tasks on one worker to which a limited job is limited. */
const largestPerWorkerLimit = 3;

/** Limits the tasks on one worker for every second job of a kind that does so, without a random number. */
function choosePerWorkerLimit(kind: JobKind, number: number): number | undefined {
    return kind.limitsTasksPerWorker && number % 2 === 0 ? 1 + number / 2 % largestPerWorkerLimit : undefined;
}

function createStep(
    kind: JobKind,
    position: number,
    random: Random,
    workMs: number,
    perWorkerLimit: number | undefined,
    speculative: boolean,
): StepSpec {
    const { execution } = kind;
    const image = execution.kind === "reserved"
        ? undefined
        : `${kind.name}-${Math.floor(random.drawShare() * execution.images)}`;
    return {
        count: Math.max(
            1,
            Math.round(random.drawSize(kind.tasksPerStep.mean, kind.tasksPerStep.spread, kind.tasksPerStep.largest)),
        ),
        resources: {
            milliCpu: Math.round(random.drawSize(kind.milliCpu.mean, kind.milliCpu.spread, kind.milliCpu.largest)),
            memoryMib: Math.round(random.drawSize(kind.memoryMib.mean, kind.memoryMib.spread, kind.memoryMib.largest)),
            accelerators: 0,
        },
        expectedRunMs: execution.kind === "serving"
            ? 0
            : Math.round(workMs * random.drawSize(1, kind.estimateSpread, 10)),
        dependsOn: position > 0 ? [position - 1] : [],
        checkpointing: execution.kind === "filling",
        gang: false,
        prefersOneRack: false,
        requiredLabel: undefined,
        rackOfData: undefined,
        perWorkerLimit,
        speculative,
        longRunning: execution.kind === "serving",
        image,
        tailTargetMs: execution.kind === "serving" ? execution.targetMs : undefined,
        usesIdleCpu: execution.kind === "filling",
        awayLimit: execution.kind === "serving" ? 1 : undefined,
    };
}

/** Standard deviation of the run times within one step, as a share of their mean. */
const runTimeSpread = 0.2;

/** Draws whether a job wants the hot rack. */
function drawWantsRack(kind: JobKind, arrivesAtMs: number, hotRack: HotRack | undefined, random: Random): boolean {
    const atMs = arrivesAtMs - warmUpMs;
    return hotRack !== undefined && hotRack.kind === kind.name
        && hotRack.periods.some(({ fromMs, untilMs }) => atMs >= fromMs && atMs < untilMs)
        && random.drawShare() < hotRack.share;
}

function createJob(
    kind: JobKind,
    number: number,
    arrivesAtMs: number,
    random: Random,
    hotRack: HotRack | undefined,
): SimulatedJob {
    const stepCount = Math.max(1, Math.round(random.drawSize(kind.steps.mean, kind.steps.spread, kind.steps.largest)));
    const steps: StepSpec[] = [];
    const workMs: number[][] = [];
    // Without a random number for the other loads, so that they stay as they are.
    const speculative = kind.speculativeShare !== undefined && random.drawShare() < kind.speculativeShare;
    for (let position = 0; position < stepCount; position += 1) {
        const meanMs = random.drawSize(kind.workMs.mean, kind.workMs.spread, kind.workMs.largest);
        const step = createStep(kind, position, random, meanMs, choosePerWorkerLimit(kind, number), speculative);
        steps.push(step);
        workMs.push(Array.from({ length: step.count }, () => random.drawSize(meanMs, runTimeSpread, meanMs * 3)));
    }
    const { execution } = kind;
    const wantsRack = drawWantsRack(kind, arrivesAtMs, hotRack, random);
    const rackOfData = wantsRack && hotRack?.isNamed === true ? hotRack.rack : undefined;
    const prefersOneRack = wantsRack && hotRack?.isNamed === false;
    return {
        kind,
        definition: {
            id: `${kind.name}${number}`,
            payload: "",
            steps: wantsRack ? steps.map(step => ({ ...step, rackOfData, prefersOneRack })) : steps,
            occurrences: 1,
            firstAtMs: undefined,
            intervalMs: 0,
        },
        arrivesAtMs,
        workMs,
        cancelAtMs: execution.kind === "serving"
            ? arrivesAtMs + random.drawGap(execution.meanLifetimeMs)
            : undefined,
        loadPhase: random.drawShare(),
    };
}

/** Time before the measured traffic in which the initial jobs arrive, in milliseconds. */
export const warmUpMs = 6_000;

/** Mean time between two jobs that arrive at `atMs`. A burst ends each period. */
function computeGapMs({ jobsPerSecond, bursts }: JobKind, atMs: number): number {
    const gapMs = 1000 / jobsPerSecond;
    if (bursts === undefined) {
        return gapMs;
    }
    const isBurst = (atMs - warmUpMs) % bursts.periodMs >= bursts.periodMs - bursts.lengthMs;
    return isBurst ? gapMs / bursts.factor : gapMs;
}

/** Generates the jobs of a load over `lengthMs` of traffic, in order of arrival. */
export function generateJobs(load: Load, lengthMs: number, random: Random): SimulatedJob[] {
    const jobs: SimulatedJob[] = [];
    for (const kind of load.kinds) {
        let number = 0;
        for (; number < kind.initialJobs; number += 1) {
            jobs.push(createJob(kind, number, random.drawShare() * warmUpMs, random, undefined));
        }
        const drawNextMs = (fromMs: number): number => fromMs + random.drawGap(computeGapMs(kind, fromMs));
        for (let atMs = drawNextMs(warmUpMs); atMs < warmUpMs + lengthMs; atMs = drawNextMs(atMs)) {
            jobs.push(createJob(kind, number, atMs, random, load.hotRack));
            number += 1;
        }
    }
    return jobs.sort((left, right) => left.arrivesAtMs - right.arrivesAtMs);
}
