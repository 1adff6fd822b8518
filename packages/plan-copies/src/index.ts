export {
    type CopyEstimate,
    type CopyMemory,
    type CopyOutcome,
    createCopyMemory,
    type EndedFirst,
    followStartedCopies,
    observeRunEnd,
    takeCopyOutcomes,
    type TaskCopy,
} from "./copy-memory.js";
export { type CopyInput, planCopies } from "./plan-copies.js";
