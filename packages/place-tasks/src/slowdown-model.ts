/** Slowdown that a neighbour of an unknown class is assumed to add, as a share of the run time without neighbours. */
const priorSlowdown = 0.05;
/** Learning rates per sample: for a neighbour's class across all victims, and for the pair of classes. */
const pooledLearningRate = 0.02;
const pairLearningRate = 0.06;
/** Share by which each sample reduces the deviation of a pair, so that a rare outlier does not persist. */
const pairDecay = 0.0005;
/** Largest slowdown that is taken from one sample; a larger one is not caused by neighbours. */
const largestSlowdown = 20;
/** Number of interference classes that the model distinguishes; further ones share the last id. */
const classLimit = 4096;

/** Number of neighbours of an interference class; a throttled task counts by its share of the processor time. */
export interface ClassCount {
    readonly classId: number;
    count: number;
}

/**
 * Learns by how much each neighbour slows down a task. The slowdown (run time with neighbours over run time without,
 * minus one) is modelled as a sum over the neighbours: the effect of the neighbour's class plus a deviation of the pair
 * of classes.
 */
export interface SlowdownModel {
    /** Id of an interference class, assigned at the first call. */
    readonly findClassId: (interferenceClass: string) => number;
    /** Learns from the measured slowdown of a task of the victim's class that ran beside these neighbours. */
    readonly observeSlowdown: (victim: number, neighbours: readonly ClassCount[], slowdown: number) => void;
    /** Slowdown that one neighbour of the class adds to a task of the victim's class; 0 is none. */
    readonly estimateAdded: (victim: number, neighbour: number) => number;
}

/** Creates a model in which each neighbour adds the assumed slowdown of an unknown class. */
export function createSlowdownModel(): SlowdownModel {
    const classIds = new Map<string, number>();
    const pooled = new Map<number, number>();
    const pairs = new Map<number, number>();
    const computePairKey = (victim: number, neighbour: number): number => victim * classLimit + neighbour;
    const readPooled = (neighbour: number): number => pooled.get(neighbour) ?? priorSlowdown;
    const estimateAdded = (victim: number, neighbour: number): number =>
        Math.max(0, readPooled(neighbour) + (pairs.get(computePairKey(victim, neighbour)) ?? 0));
    return {
        findClassId: interferenceClass => {
            let classId = classIds.get(interferenceClass);
            if (classId === undefined) {
                classId = Math.min(classIds.size, classLimit - 1);
                classIds.set(interferenceClass, classId);
            }
            return classId;
        },
        observeSlowdown: (victim, neighbours, slowdown) => {
            let predicted = 0;
            let norm = 1;
            for (const { classId, count } of neighbours) {
                predicted += count * estimateAdded(victim, classId);
                norm += count * count;
            }
            const error = Math.min(largestSlowdown, slowdown) - predicted;
            for (const { classId, count } of neighbours) {
                const step = error * count / norm;
                pooled.set(classId, Math.max(0, readPooled(classId) + pooledLearningRate * step));
                const key = computePairKey(victim, classId);
                pairs.set(key, (pairs.get(key) ?? 0) * (1 - pairDecay) + pairLearningRate * step);
            }
        },
        estimateAdded,
    };
}
