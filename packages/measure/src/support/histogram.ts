import { build, type Histogram } from "hdr-histogram-js";

const highestMicroseconds = 600_000_000;
const microsecondsPerMillisecond = 1_000;

/** A histogram of times that are recorded in milliseconds and kept in microseconds. */
export interface TimeHistogram {
    readonly recordMs: (valueMs: number) => void;
    readonly readPercentileMs: (percentile: number) => number;
    readonly readMaxMs: () => number;
    readonly countValues: () => number;
}

/** Creates an empty histogram. */
export function createTimeHistogram(): TimeHistogram {
    const histogram: Histogram = build({
        lowestDiscernibleValue: 1,
        highestTrackableValue: highestMicroseconds,
        numberOfSignificantValueDigits: 3,
    });
    return {
        recordMs: valueMs => histogram.recordValue(Math.max(1, Math.round(valueMs * microsecondsPerMillisecond))),
        readPercentileMs: percentile => histogram.getValueAtPercentile(percentile) / microsecondsPerMillisecond,
        readMaxMs: () => histogram.maxValue / microsecondsPerMillisecond,
        countValues: () => histogram.totalCount,
    };
}

/** Formats p50, p90, p99 and max as cells of a table row, in milliseconds. */
export function formatTimes(histogram: TimeHistogram): string {
    const cells = [50, 90, 99].map(percentile => histogram.readPercentileMs(percentile).toFixed(2));
    return [...cells, histogram.readMaxMs().toFixed(2)].join(" | ");
}
