export {
    createInterferenceModel,
    type ImageUsage,
    type InterferenceModel,
    type PairEstimate,
} from "./interference-model.js";
export { createUsageHistory, type UsageHistory } from "./usage-history.js";
