export { advisoryLoad, type JobKind, type Load, wholesaleLoad } from "./load.js";
export { replayLoad } from "./replay.js";
export type { TallyRow } from "./tally.js";
