export { floorShare, type GivenTurn, orderByShares, type ShareOrder } from "./order-by-shares.js";
export type { WaitingWork } from "./rank-by-value.js";
export {
    createShareMemory,
    type GroupShare,
    observeWaitingJobs,
    recordStartedWork,
    type ShareMemory,
} from "./share-memory.js";
export type { SizeGroup } from "./size-groups.js";
