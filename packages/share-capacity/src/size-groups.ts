/** Size group of a job among the jobs of its queue. */
export type SizeGroup = "small" | "medium" | "large";

/** Number of the latest jobs of a queue from which the limits of its groups are learned. */
const sampleLimit = 256;
/** Number of jobs below which all jobs of a queue count as small, because the limits would be accidental. */
const fewestSamples = 20;
/** Number of new jobs after which the limits are computed again. */
const refreshInterval = 16;
/** Shares of the jobs of a queue that are smaller than the medium and than the large ones: the users' terms name both groups. */
const mediumQuantile = 0.7;
const largeQuantile = 0.9;

/** Sizes seen in a queue. A size is the declared work of a job, in core-milliseconds. */
export interface QueueSizes {
    readonly samples: number[];
    /** Number of sizes seen; the next one replaces the oldest sample. */
    seen: number;
    mediumFrom: number;
    largeFrom: number;
    mean: number;
}

/** Creates the record of a queue without jobs. */
export function createQueueSizes(): QueueSizes {
    return {
        samples: [],
        seen: 0,
        mediumFrom: Number.POSITIVE_INFINITY,
        largeFrom: Number.POSITIVE_INFINITY,
        mean: 0,
    };
}

/** Records the size of a job that was not seen before, in core-milliseconds. */
export function recordSize(sizes: QueueSizes, size: number): void {
    sizes.samples[sizes.seen % sampleLimit] = size;
    sizes.seen += 1;
    if (sizes.seen > fewestSamples && sizes.seen % refreshInterval !== 0) {
        return;
    }
    const sorted = [...sizes.samples].sort((left, right) => left - right);
    const readQuantile = (share: number): number => sorted[Math.floor(share * sorted.length)] ?? 0;
    sizes.mean = sorted.reduce((sum, sample) => sum + sample, 0) / sorted.length;
    if (sizes.seen >= fewestSamples) {
        sizes.mediumFrom = readQuantile(mediumQuantile);
        sizes.largeFrom = readQuantile(largeQuantile);
    }
}

/** Finds the group of a size, in core-milliseconds. */
export function findSizeGroup({ mediumFrom, largeFrom }: QueueSizes, size: number): SizeGroup {
    if (size >= largeFrom) {
        return "large";
    }
    return size >= mediumFrom ? "medium" : "small";
}
