import type { WorkSpec } from "@chestnutspool/types";

/** Weight of the declared size, in samples, beside the observed ones. */
const priorSamples = 3;
/** Share by which an older sample counts less than the next one. */
const decay = 0.98;
/** Works that the model remembers; the one observed longest ago is forgotten first. */
const workLimit = 20_000;

interface Figure {
    mean: number;
    variance: number;
}

interface WorkUse {
    weight: number;
    readonly milliCpu: Figure;
    readonly memoryMib: Figure;
}

/** Amounts that a task is expected to use; accelerators are always used as declared. */
export interface ExpectedUse {
    readonly milliCpu: number;
    readonly memoryMib: number;
    /** Memory without the standard deviation, which the errors of measurement enlarge. */
    readonly meanMemoryMib: number;
}

/** Learns what the tasks of a work really use. */
export interface UseModel {
    /** Takes one sample of an unthrottled task. */
    readonly observeUse: (work: string, use: Pick<ExpectedUse, "milliCpu" | "memoryMib">) => void;
    /** Mean plus one standard deviation of the use, with the declared size as prior. */
    readonly estimateUse: (spec: Pick<WorkSpec, "name" | "resources">) => ExpectedUse;
}

function addSample(figure: Figure, value: number, weight: number): void {
    const difference = value - figure.mean;
    const share = 1 / weight;
    figure.mean += difference * share;
    figure.variance = (1 - share) * (figure.variance + difference * difference * share);
}

function estimateMean(figure: Figure, weight: number, declared: number): number {
    return (figure.mean * weight + declared * priorSamples) / (weight + priorSamples);
}

/** Creates a model that trusts declarations. */
export function createUseModel(): UseModel {
    const byWork = new Map<string, WorkUse>();
    const findOrAdd = (work: string): WorkUse => {
        const known = byWork.get(work);
        if (known !== undefined) {
            byWork.delete(work);
            byWork.set(work, known);
            return known;
        }
        const added = { weight: 0, milliCpu: { mean: 0, variance: 0 }, memoryMib: { mean: 0, variance: 0 } };
        byWork.set(work, added);
        const oldest = byWork.size > workLimit ? byWork.keys().next().value : undefined;
        if (oldest !== undefined) {
            byWork.delete(oldest);
        }
        return added;
    };
    return {
        observeUse: (work, use) => {
            const known = findOrAdd(work);
            known.weight = known.weight * decay + 1;
            addSample(known.milliCpu, use.milliCpu, known.weight);
            addSample(known.memoryMib, use.memoryMib, known.weight);
        },
        estimateUse: ({ name, resources }) => {
            const known = byWork.get(name);
            if (known === undefined) {
                const { milliCpu, memoryMib } = resources;
                return { milliCpu, memoryMib, meanMemoryMib: memoryMib };
            }
            const meanMemoryMib = estimateMean(known.memoryMib, known.weight, resources.memoryMib);
            return {
                milliCpu: estimateMean(known.milliCpu, known.weight, resources.milliCpu)
                    + Math.sqrt(known.milliCpu.variance),
                memoryMib: meanMemoryMib + Math.sqrt(known.memoryMib.variance),
                meanMemoryMib,
            };
        },
    };
}
