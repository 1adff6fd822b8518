export * from "./minion/index.js";
export * from "./worker/index.js";
