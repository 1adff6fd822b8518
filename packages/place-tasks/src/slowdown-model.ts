/** Slowdown that a neighbour of an unknown class is assumed to add, as a share of the speed alone. */
const priorSlowdown = 0.05;
/** Step of the correction by one sample: shared among all victims of a class, and for the pair alone. */
const pooledStep = 0.02;
const pairStep = 0.06;
/** Share of the deviation of a pair that one sample lets fade, so that a rare outlier does not stay. */
const pairFade = 0.0005;
/** Largest slowdown that one sample may report; beyond it the cause is not the neighbours. */
const largestSlowdown = 20;
/** Interference classes that the model tells apart; further ones share the last number. */
const classLimit = 4096;

/** A class of neighbours and how many tasks of it there are, throttled ones counted by their share. */
export interface ClassCount {
    readonly classId: number;
    count: number;
}

/**
 * Learns by how much each neighbour slows a task down. The slowdown (time alone over time together, minus one) is taken as
 * the sum over the neighbours of a figure of the neighbour's class plus a deviation of the pair of classes.
 */
export interface SlowdownModel {
    /** Number of an interference class. */
    readonly findClassId: (interferenceClass: string) => number;
    /** Takes a measured slowdown of a task of the victim's class beside these neighbours. */
    readonly observeSlowdown: (victim: number, neighbours: readonly ClassCount[], slowdown: number) => void;
    /** Slowdown that one neighbour of the class adds to a task of the victim's class; 0 is none. */
    readonly estimateAdded: (victim: number, neighbour: number) => number;
}

/** Creates a model in which all neighbours are mild. */
export function createSlowdownModel(): SlowdownModel {
    const classIds = new Map<string, number>();
    const pooled = new Map<number, number>();
    const pairs = new Map<number, number>();
    const formatPair = (victim: number, neighbour: number): number => victim * classLimit + neighbour;
    const readPooled = (neighbour: number): number => pooled.get(neighbour) ?? priorSlowdown;
    const estimateAdded = (victim: number, neighbour: number): number =>
        Math.max(0, readPooled(neighbour) + (pairs.get(formatPair(victim, neighbour)) ?? 0));
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
                pooled.set(classId, Math.max(0, readPooled(classId) + pooledStep * step));
                const key = formatPair(victim, classId);
                pairs.set(key, (pairs.get(key) ?? 0) * (1 - pairFade) + pairStep * step);
            }
        },
        estimateAdded,
    };
}
