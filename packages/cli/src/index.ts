export type { CommandIo } from "./command.js";
export { type ExitCode, exitCodes } from "./exit-codes.js";
export { runProgram } from "./program.js";
