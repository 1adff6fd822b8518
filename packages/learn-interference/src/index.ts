export { createInterferenceModel, type ImageUse, type InterferenceModel } from "./interference-model.js";
