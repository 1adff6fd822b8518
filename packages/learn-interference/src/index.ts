export {
    createInterferenceModel,
    type ImageUse,
    type InterferenceModel,
    type PairEstimate,
} from "./interference-model.js";
export { createUseHistory, type UseHistory } from "./use-history.js";
