export type { EntryServices } from "./entry-context.js";
export type { EntryHealth } from "./health.js";
export { mapRpcCode } from "./rpc-errors.js";
export { type EntryApi, startEntry } from "./start-entry.js";
