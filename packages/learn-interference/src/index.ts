export { createInterferenceModel, type ImageUsage, type InterferenceModel } from "./interference-model.js";
export { createUsageHistory, type UsageHistory } from "./usage-history.js";
