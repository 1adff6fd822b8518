export * from "./fake-workers.js";
export * from "./test-system.js";
