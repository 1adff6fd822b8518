export * from "./define-test.js";
export * from "./event-player.js";
export * from "./fake-workers.js";
export * from "./paced-run.js";
export * from "./recording-logger.js";
export * from "./test-system.js";
export * from "./watch-waiting-jobs.js";
export * from "./worker-types.js";
