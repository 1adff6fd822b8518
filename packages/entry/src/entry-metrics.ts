/** Percentiles of one measure. */
export interface MeasuredDistribution {
    readonly measure: string;
    readonly tenant: string;
    readonly className: string;
    readonly count: number;
    readonly p50: number;
    readonly p90: number;
    readonly p99: number;
    readonly p999: number;
    readonly max: number;
}

/** Value of one counter. */
export interface MeasuredCounter {
    readonly name: string;
    readonly tenant: string;
    readonly className: string;
    readonly value: number;
}

/** The metrics that the entry role records; `createMetrics` of record-metrics provides them. */
export interface EntryMetrics {
    readonly recordDuration: (measure: string, tenant: string, className: string, valueMs: number) => void;
    readonly countEvent: (name: string, tenant: string, className: string) => void;
    readonly readDistributions: () => readonly MeasuredDistribution[];
    readonly readCounters: () => readonly MeasuredCounter[];
}
