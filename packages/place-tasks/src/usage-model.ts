import type { Resources } from "@chestnutspool/types";

/** Weight of the prior, as a number of observed samples. */
const priorSamples = 3;
/** Weight of an older sample relative to the next one. */
const decay = 0.98;
/** Weight from which the mean of a work is exact enough to show how far the declared amounts of its class are off. */
const settledWeight = 2.9;
/** Weight of an older work in its class relative to the next one. */
const poolDecay = 0.95;
/** Number of works that the model keeps; the oldest is dropped first, and learnt again if it still runs. */
const workLimit = 20_000;

/** Decaying mean and variance of one amount. */
interface DecayingMean {
    weight: number;
    mean: number;
    variance: number;
}

interface UsageMeans {
    readonly milliCpu: DecayingMean;
    readonly memoryMib: DecayingMean;
}

/**
 * Amounts that a task is expected to use; accelerators are always used as declared. `milliCpu` and `memoryMib` are the
 * mean plus the uncertainty of the mean plus one standard deviation of the samples.
 */
export interface ExpectedUsage {
    readonly milliCpu: number;
    readonly memoryMib: number;
    /** Mean plus the uncertainty of the mean, without the variation around it. */
    readonly meanMemoryMib: number;
}

/** The properties of a work that the model uses. */
export interface SizedWork {
    readonly work: string;
    readonly interferenceClass: string;
    readonly resources: Resources;
}

/** Learns how much the tasks of a work use; a work without samples is estimated from the others of its class. */
export interface UsageModel {
    /** Learns from one sample of an unthrottled task. */
    readonly observeUsage: (work: SizedWork, use: Pick<ExpectedUsage, "milliCpu" | "memoryMib">) => void;
    readonly estimateUsage: (work: SizedWork) => ExpectedUsage;
}

function createDecayingMean(): DecayingMean {
    return { weight: 0, mean: 0, variance: 0 };
}

function addSample(observed: DecayingMean, value: number, keptShare: number): void {
    observed.weight = observed.weight * keptShare + 1;
    const difference = value - observed.mean;
    const share = 1 / observed.weight;
    observed.mean += difference * share;
    observed.variance = (1 - share) * (observed.variance + difference * difference * share);
}

/** Expected amount, its uncertainty as a standard deviation, and the variation of single samples around it. */
function estimateAmount(observed: DecayingMean | undefined, pool: DecayingMean | undefined, declared: number) {
    const weight = observed?.weight ?? 0;
    const poolShare = pool === undefined ? 0 : pool.weight / (pool.weight + priorSamples);
    const prior = declared * (1 + ((pool?.mean ?? 1) - 1) * poolShare);
    const mean = ((observed?.mean ?? 0) * weight + prior * priorSamples) / (weight + priorSamples);
    const uncertainty = declared * Math.sqrt((pool?.variance ?? 0) * priorSamples / (weight + priorSamples));
    return { mean, uncertainty, variation: Math.sqrt(observed?.variance ?? 0) };
}

/** Creates a model that expects the declared amounts until samples are observed. */
export function createUsageModel(): UsageModel {
    const byWork = new Map<string, UsageMeans>();
    /** Ratio of the used to the declared amounts, by interference class. */
    const byClass = new Map<string, UsageMeans>();
    const findOrAdd = (means: Map<string, UsageMeans>, key: string): UsageMeans => {
        const known = means.get(key);
        if (known !== undefined) {
            return known;
        }
        const added = { milliCpu: createDecayingMean(), memoryMib: createDecayingMean() };
        means.set(key, added);
        const oldest = means.size > workLimit ? means.keys().next().value : undefined;
        if (oldest !== undefined) {
            means.delete(oldest);
        }
        return added;
    };
    const observeAmount = (work: SizedWork, name: "milliCpu" | "memoryMib", value: number): void => {
        const observed = findOrAdd(byWork, work.work)[name];
        const wasSettled = observed.weight >= settledWeight;
        addSample(observed, value, decay);
        if (!wasSettled && observed.weight >= settledWeight && work.resources[name] > 0) {
            addSample(
                findOrAdd(byClass, work.interferenceClass)[name],
                observed.mean / work.resources[name],
                poolDecay,
            );
        }
    };
    return {
        observeUsage: (work, use) => {
            observeAmount(work, "milliCpu", use.milliCpu);
            observeAmount(work, "memoryMib", use.memoryMib);
        },
        estimateUsage: ({ work, interferenceClass, resources }) => {
            const means = byWork.get(work);
            const pool = byClass.get(interferenceClass);
            const cpu = estimateAmount(means?.milliCpu, pool?.milliCpu, resources.milliCpu);
            const memory = estimateAmount(means?.memoryMib, pool?.memoryMib, resources.memoryMib);
            return {
                milliCpu: cpu.mean + cpu.uncertainty + cpu.variation,
                memoryMib: memory.mean + memory.uncertainty + memory.variation,
                meanMemoryMib: memory.mean + memory.uncertainty,
            };
        },
    };
}
