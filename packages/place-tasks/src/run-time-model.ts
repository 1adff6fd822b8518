import type { JobSpec, TaskRecord } from "@chestnutspool/types";

/** Weight, in observed runs, of the declared run time for a class, and of the mean of the class for a work. */
const priorRuns = 2;
/** Weight of an older run relative to the next one, so that the model follows changes. */
const decay = 0.95;
/** Number of works that the model keeps; the one without a new run for longest is dropped first. */
const workLimit = 20_000;

/** Decaying mean and variance of the logarithm of observed over declared run time. */
interface RatioMean {
    readonly weight: number;
    readonly mean: number;
    readonly variance: number;
}

/** Learns the ratio of observed to declared run times, by work and pooled by interference class. */
export interface RunTimeModel {
    readonly observeRun: (spec: JobSpec, task: TaskRecord) => void;
    /** Expected run time of a task in milliseconds. */
    readonly estimateRunMs: (spec: JobSpec) => number;
    /** Run time in milliseconds that a task rarely exceeds: one standard deviation above the expected one. */
    readonly estimateLongRunMs: (spec: JobSpec) => number;
}

function addRatio(known: RatioMean | undefined, ratio: number): RatioMean {
    const weight = (known?.weight ?? 0) * decay + 1;
    const mean = known?.mean ?? 0;
    const difference = ratio - mean;
    const variance = (1 - 1 / weight) * ((known?.variance ?? 0) + difference * difference / weight);
    return { weight, mean: mean + difference / weight, variance };
}

/** Mean of the observed ratios and a prior that counts as `priorRuns` runs. */
function blendRatio(known: RatioMean | undefined, prior: number): number {
    return known === undefined
        ? prior
        : (known.mean * known.weight + prior * priorRuns) / (known.weight + priorRuns);
}

/** Creates a model that expects the declared run times until runs are observed. */
export function createRunTimeModel(): RunTimeModel {
    const byWork = new Map<string, RatioMean>();
    const byClass = new Map<string, RatioMean>();
    const estimateRunMs = (spec: JobSpec): number => {
        const pooled = blendRatio(byClass.get(spec.interferenceClass), 0);
        return spec.expectedRunMs * Math.exp(blendRatio(byWork.get(spec.name), pooled));
    };
    return {
        observeRun: (spec, task) => {
            if (task.startedAtMs === undefined || task.endedAtMs === undefined) {
                return;
            }
            const ratio = Math.log(Math.max(1, task.endedAtMs - task.startedAtMs) / Math.max(1, spec.expectedRunMs));
            const known = byWork.get(spec.name);
            byWork.delete(spec.name);
            byWork.set(spec.name, addRatio(known, ratio));
            byClass.set(spec.interferenceClass, addRatio(byClass.get(spec.interferenceClass), ratio));
            const oldest = byWork.size > workLimit ? byWork.keys().next().value : undefined;
            if (oldest !== undefined) {
                byWork.delete(oldest);
            }
        },
        estimateRunMs,
        estimateLongRunMs: spec => {
            const variance = byClass.get(spec.interferenceClass)?.variance ?? 0;
            const weight = byWork.get(spec.name)?.weight ?? 0;
            // The more runs of the work itself were observed, the less the variance between works counts.
            return estimateRunMs(spec) * Math.exp(Math.sqrt(variance * priorRuns / (weight + priorRuns)));
        },
    };
}
