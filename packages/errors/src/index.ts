export { describeError, isCertainlyNotRun } from "./describe-error.js";
export { mapErrorCode, type RpcCode } from "./map-error-code.js";
