export * from "./make-jobs.js";
