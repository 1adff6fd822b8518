export { computeStateBudget } from "./compute-state-budget.js";
export { awaitReplicaFailure, createJobProcess, forwarderKey, type JobProcessPorts } from "./create-job-process.js";
export { type ControlSettings, type JobProcessSettings, logTiming } from "./process-settings.js";
export { readGauges } from "./read-gauges.js";
