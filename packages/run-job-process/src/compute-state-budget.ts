const bytesPerMib = 1024 * 1024;

/**
 * Share of the heap for the state. The rest is for what a leader knows of its workers, the passes of the planner, the largest
 * configuration and the garbage between two collections.
 */
const stateShare = 0.35;
/** Memory outside of the heap that is not for snapshots: the program, the part of the log in memory, and messages. */
const reservedBytes = 45 * bytesPerMib;
/** Largest share of the estimated memory of a state that is outside of the heap while the heap is full. */
const outsideShare = 0.5;
/** Least share of the heap for the state, so that a process with little memory besides its heap still serves small jobs. */
const leastStateShare = 0.15;

/**
 * Computes the memory for the state of jobs from the limit of the heap and that of the whole process, all in bytes. The estimates of
 * the state count the copies of texts in snapshots, which are outside of the heap.
 */
export function computeStateBudget(heapLimitBytes: number, memoryLimitBytes: number | undefined): number {
    const outsideBytes = memoryLimitBytes === undefined
        ? Number.POSITIVE_INFINITY
        : (memoryLimitBytes - heapLimitBytes - reservedBytes) / outsideShare;
    return Math.floor(Math.max(heapLimitBytes * leastStateShare, Math.min(heapLimitBytes * stateShare, outsideBytes)));
}
