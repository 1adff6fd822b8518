export { planStarts } from "./plan-starts.js";
export { listUnwantedRuns } from "./plan-stops.js";
