export * from "./worker/index.js";
