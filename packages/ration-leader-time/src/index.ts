export {
    adaptRation,
    createLeaderRation,
    isRationed,
    type LeaderRation,
    readRationedRate,
    recordRationShortage,
    recordStarts,
    type Starts,
} from "./leader-ration.js";
export { countAffordableRaises, readStartRation, recordRaises, type StartRation } from "./spend-ration.js";
