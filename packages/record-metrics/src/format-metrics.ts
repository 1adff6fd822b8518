import type { Counter, Distribution, Metrics } from "./metrics.js";

/** A value that is read when the metrics are requested. */
export interface Gauge {
    readonly name: string;
    readonly value: number;
}

const prefix = "chestnutspool";

function formatLabels(labels: Readonly<Record<string, string>>): string {
    const parts = Object.entries(labels).map(([name, value]) =>
        `${name}="${value.replaceAll("\\", "\\\\").replaceAll("\"", "\\\"").replaceAll("\n", "\\n")}"`
    );
    return `{${parts.join(",")}}`;
}

function* formatCounter({ name, tenant, class: className, value }: Counter): Generator<string> {
    yield `${prefix}_events_total${formatLabels({ event: name, tenant, class: className })} ${value}`;
}

function* formatDistribution(each: Distribution): Generator<string> {
    const labels = { measure: each.measure, tenant: each.tenant, class: each.class };
    const quantiles = [["0.5", each.p50], ["0.9", each.p90], ["0.99", each.p99], ["0.999", each.p999], [
        "1",
        each.max,
    ]] as const;
    for (const [quantile, value] of quantiles) {
        yield `${prefix}_duration_milliseconds${formatLabels({ ...labels, quantile })} ${value}`;
    }
    yield `${prefix}_duration_milliseconds_count${formatLabels(labels)} ${each.count}`;
}

function* formatLines(metrics: Metrics, gauges: readonly Gauge[]): Generator<string> {
    yield `# TYPE ${prefix}_events_total counter`;
    for (const counter of metrics.readCounters()) {
        yield* formatCounter(counter);
    }
    yield `# TYPE ${prefix}_duration_milliseconds summary`;
    for (const distribution of metrics.readDistributions()) {
        yield* formatDistribution(distribution);
    }
    for (const { name, value } of gauges) {
        yield `# TYPE ${prefix}_${name} gauge`;
        yield `${prefix}_${name} ${value}`;
    }
}

/** Formats counters, distributions and gauges in the Prometheus text format; durations are in milliseconds. */
export function formatMetrics(metrics: Metrics, gauges: readonly Gauge[]): string {
    return [...formatLines(metrics, gauges), ""].join("\n");
}
