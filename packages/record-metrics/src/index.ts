export { formatMetrics, type Gauge } from "./format-metrics.js";
export { type Counter, createMetrics, type Distribution, type Metrics, otherTenant } from "./metrics.js";
