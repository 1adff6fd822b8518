export { awaitReplicaFailure, createJobProcess, forwarderKey, type JobProcessPorts } from "./create-job-process.js";
export type { ControlSettings, JobProcessSettings } from "./process-settings.js";
export { readGauges } from "./read-gauges.js";
