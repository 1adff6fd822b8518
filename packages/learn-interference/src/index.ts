export { createInterferenceModel, type ImageUse, type InterferenceModel } from "./interference-model.js";
export { createUseHistory, type UseHistory } from "./use-history.js";
