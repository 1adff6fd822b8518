export { type Backlog, type BacklogEntry, createBacklogEntry, listBacklog } from "./backlog.js";
export {
    type AdmissionDecision,
    type AdmissionInputs,
    decideAdmission,
    type RefusalCause,
} from "./decide-admission.js";
export { decideRoom, type RoomDecision, type StateRoom } from "./decide-room.js";
export { createLeaderBusyness, type LeaderBusyness, recordDelay } from "./leader-busyness.js";
export {
    createThroughput,
    isSaturated,
    type PoolRates,
    readRates,
    recordAccepted,
    recordEnded,
    recordPoolState,
    recordStarted,
    type Throughput,
} from "./throughput.js";
