export { type Counter, createMetrics, type Distribution, type Metrics, otherTenant } from "./metrics.js";
