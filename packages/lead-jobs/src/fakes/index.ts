export * from "./define-test.js";
export * from "./fake-workers.js";
export * from "./test-system.js";
