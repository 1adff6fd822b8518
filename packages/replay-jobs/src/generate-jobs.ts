import type { JobDefinition, StepSpec } from "@chestnutspool/types";
import type { JobKind, Load } from "./load.js";
import type { Random } from "./random.js";

/** A job of the replay with what the planner is not told. */
export interface PlannedJob {
    readonly kind: JobKind;
    readonly definition: JobDefinition;
    readonly arrivesAtMs: number;
    /** Real work of the tasks of each step, in milliseconds at full speed. */
    readonly workMs: readonly (readonly number[])[];
    /** When the caller cancels it; undefined for jobs that end. */
    readonly cancelAtMs: number | undefined;
    /** Place of its swing, from 0 to 1. */
    readonly phase: number;
}

function createStep(kind: JobKind, position: number, chain: boolean, random: Random, workMs: number): StepSpec {
    const { character } = kind;
    const image = character.kind === "reserved"
        ? undefined
        : `${kind.name}-${Math.floor(random.readShare() * character.images)}`;
    return {
        count: Math.max(1, Math.round(random.readSize(kind.width.mean, kind.width.spread, kind.width.largest))),
        resources: {
            milliCpu: Math.round(random.readSize(kind.milliCpu.mean, kind.milliCpu.spread, kind.milliCpu.largest)),
            memoryMib: Math.round(random.readSize(kind.memoryMib.mean, kind.memoryMib.spread, kind.memoryMib.largest)),
            accelerators: 0,
        },
        expectedRunMs: character.kind === "serving"
            ? 0
            : Math.round(workMs * random.readSize(1, kind.estimateSpread, 10)),
        dependsOn: chain && position > 0 ? [position - 1] : [],
        checkpointing: character.kind === "filling",
        gang: false,
        prefersOneRack: false,
        requiredLabel: undefined,
        rackOfData: undefined,
        perWorkerLimit: undefined,
        speculative: false,
        longRunning: character.kind === "serving",
        image,
        tailTargetMs: character.kind === "serving" ? character.targetMs : undefined,
        usesIdleCpu: character.kind === "filling",
        awayLimit: character.kind === "serving" ? 1 : undefined,
    };
}

/** Spread of the work of the tasks of one step. */
const taskSpread = 0.2;

function createJob(kind: JobKind, number: number, arrivesAtMs: number, random: Random): PlannedJob {
    const stepCount = Math.max(1, Math.round(random.readSize(kind.steps.mean, kind.steps.spread, kind.steps.largest)));
    const steps: StepSpec[] = [];
    const workMs: number[][] = [];
    for (let position = 0; position < stepCount; position += 1) {
        const meanMs = random.readSize(kind.workMs.mean, kind.workMs.spread, kind.workMs.largest);
        const step = createStep(kind, position, true, random, meanMs);
        steps.push(step);
        workMs.push(Array.from({ length: step.count }, () => random.readSize(meanMs, taskSpread, meanMs * 3)));
    }
    const { character } = kind;
    return {
        kind,
        definition: {
            id: `${kind.name}${number}`,
            payload: "",
            steps,
            occurrences: 1,
            firstAtMs: undefined,
            intervalMs: 0,
        },
        arrivesAtMs,
        workMs,
        cancelAtMs: character.kind === "serving"
            ? arrivesAtMs + random.readGap(character.stayMs)
            : undefined,
        phase: random.readShare(),
    };
}

/** Time before the traffic, in which the jobs arrive that are there at its start, in milliseconds. */
export const warmUpMs = 6_000;

/** The jobs of a load over a time of traffic, in order of arrival. */
export function generateJobs(load: Load, lengthMs: number, random: Random): PlannedJob[] {
    const jobs: PlannedJob[] = [];
    for (const kind of load.kinds) {
        let number = 0;
        for (; number < kind.atStart; number += 1) {
            jobs.push(createJob(kind, number, random.readShare() * warmUpMs, random));
        }
        const gapMs = 1000 / kind.perSecond;
        for (let atMs = warmUpMs + random.readGap(gapMs); atMs < warmUpMs + lengthMs; atMs += random.readGap(gapMs)) {
            jobs.push(createJob(kind, number, atMs, random));
            number += 1;
        }
    }
    return jobs.sort((left, right) => left.arrivesAtMs - right.arrivesAtMs);
}
