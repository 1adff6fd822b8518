export { buildAnswer, buildBody, type MinionWork, parseWork } from "./minion-work.js";
export type { RunEnd, RunRecord } from "./run-records.js";
export type { MinionFault } from "./serve-run.js";
export { type MinionApi, type StandInMinionOptions, startStandInMinion } from "./stand-in-minion.js";
