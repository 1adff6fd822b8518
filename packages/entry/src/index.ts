export type { EntryServices } from "./entry-context.js";
export type { EntryHealth } from "./health.js";
export { type EntryApi, startEntry } from "./start-entry.js";
