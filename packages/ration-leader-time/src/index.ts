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
export { countAffordableRaises, countAffordableStarts, recordRaises } from "./spend-ration.js";
