import type { Resources } from "@chestnutspool/types";

/** Weight of the prior, in samples, beside the observed ones. */
const priorSamples = 3;
/** Share by which an older sample counts less than the next one. */
const decay = 0.98;
/** Weight at which the mean of a work is exact enough to tell how far declarations of its class are off. */
const settledWeight = 2.9;
/** Share by which an older work counts less for its class than the next one. */
const poolDecay = 0.95;
/** Works that the model remembers; the oldest is forgotten first, and learnt again if it still runs. */
const workLimit = 20_000;

/** Decaying mean and variance. */
interface Figure {
    weight: number;
    mean: number;
    variance: number;
}

interface UseFigures {
    readonly milliCpu: Figure;
    readonly memoryMib: Figure;
}

/** Amounts that a task is expected to use; accelerators are always used as declared. */
export interface ExpectedUsage {
    /** Mean plus one standard deviation. */
    readonly milliCpu: number;
    readonly memoryMib: number;
    /** Mean plus the uncertainty of the mean, without the variation around it. */
    readonly meanMemoryMib: number;
}

/** What the model needs to know of a work. */
export interface SizedWork {
    readonly work: string;
    readonly interferenceClass: string;
    readonly resources: Resources;
}

/** Learns what the tasks of a work really use; a work without samples is judged by the others of its class. */
export interface UsageModel {
    /** Takes one sample of an unthrottled task. */
    readonly observeUsage: (work: SizedWork, use: Pick<ExpectedUsage, "milliCpu" | "memoryMib">) => void;
    readonly estimateUsage: (work: SizedWork) => ExpectedUsage;
}

function createFigure(): Figure {
    return { weight: 0, mean: 0, variance: 0 };
}

function addSample(figure: Figure, value: number, keptShare: number): void {
    figure.weight = figure.weight * keptShare + 1;
    const difference = value - figure.mean;
    const share = 1 / figure.weight;
    figure.mean += difference * share;
    figure.variance = (1 - share) * (figure.variance + difference * difference * share);
}

/** Expected amount, its uncertainty as a standard deviation, and the variation of single samples around it. */
function estimateFigure(figure: Figure | undefined, pool: Figure | undefined, declared: number) {
    const weight = figure?.weight ?? 0;
    const poolShare = pool === undefined ? 0 : pool.weight / (pool.weight + priorSamples);
    const prior = declared * (1 + ((pool?.mean ?? 1) - 1) * poolShare);
    const mean = ((figure?.mean ?? 0) * weight + prior * priorSamples) / (weight + priorSamples);
    const uncertainty = declared * Math.sqrt((pool?.variance ?? 0) * priorSamples / (weight + priorSamples));
    return { mean, uncertainty, variation: Math.sqrt(figure?.variance ?? 0) };
}

/** Creates a model that trusts declarations. */
export function createUsageModel(): UsageModel {
    const byWork = new Map<string, UseFigures>();
    /** Used over declared amount of the works of a class. */
    const byClass = new Map<string, UseFigures>();
    const findOrAdd = (figures: Map<string, UseFigures>, key: string): UseFigures => {
        const known = figures.get(key);
        if (known !== undefined) {
            return known;
        }
        const added = { milliCpu: createFigure(), memoryMib: createFigure() };
        figures.set(key, added);
        const oldest = figures.size > workLimit ? figures.keys().next().value : undefined;
        if (oldest !== undefined) {
            figures.delete(oldest);
        }
        return added;
    };
    const observeAmount = (work: SizedWork, name: "milliCpu" | "memoryMib", value: number): void => {
        const figure = findOrAdd(byWork, work.work)[name];
        const wasSettled = figure.weight >= settledWeight;
        addSample(figure, value, decay);
        if (!wasSettled && figure.weight >= settledWeight && work.resources[name] > 0) {
            addSample(findOrAdd(byClass, work.interferenceClass)[name], figure.mean / work.resources[name], poolDecay);
        }
    };
    return {
        observeUsage: (work, use) => {
            observeAmount(work, "milliCpu", use.milliCpu);
            observeAmount(work, "memoryMib", use.memoryMib);
        },
        estimateUsage: ({ work, interferenceClass, resources }) => {
            const figures = byWork.get(work);
            const pool = byClass.get(interferenceClass);
            const cpu = estimateFigure(figures?.milliCpu, pool?.milliCpu, resources.milliCpu);
            const memory = estimateFigure(figures?.memoryMib, pool?.memoryMib, resources.memoryMib);
            return {
                milliCpu: cpu.mean + cpu.uncertainty + cpu.variation,
                memoryMib: memory.mean + memory.uncertainty + memory.variation,
                meanMemoryMib: memory.mean + memory.uncertainty,
            };
        },
    };
}
