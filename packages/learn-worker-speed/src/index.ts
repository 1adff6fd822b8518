export type { WorkerPlace } from "./grouped-sums.js";
export {
    addEstimate,
    countSlowWorkers,
    createSpeedModel,
    estimateWorker,
    forgetRun,
    forgetWorker,
    listEstimates,
    observeEnd,
    observeProgress,
    predictFailureShare,
    predictSpeed,
    predictUsefulSpeed,
    recordCold,
    takeSpeedChanges,
} from "./speed-model.js";
export type { ObservedRun, SpeedChange, SpeedEstimate, SpeedModel } from "./speed-model.js";
