/** Processes, targets and load for tests and measurements with the built program. */
export { awaitCondition } from "./await-condition.js";
export { type ProcessGroup, type ProcessGroupOptions, startProcessGroup, type TestProcess } from "./process-group.js";
export { type LoadOutcome, type LoadRequest, makeRequests, runConcurrently, sendLoadRequest } from "./request-load.js";
export { listOverlaps, listRequestSpans, listTaskSpans, startTestTargets, type TestTargets } from "./test-targets.js";
