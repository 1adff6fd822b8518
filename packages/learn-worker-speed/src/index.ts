export type { WorkerPlace } from "./grouped-sums.js";
export {
    addEstimate,
    createSpeedModel,
    forgetRun,
    isProgressDue,
    listEstimates,
    observeEnd,
    observeProgress,
    predictSpeed,
    predictUsefulSpeed,
    recordCold,
    takeSpeedChanges,
} from "./speed-model.js";
export type { ObservedRun, SpeedChange, SpeedEstimate, SpeedModel } from "./speed-model.js";
