import { Effect } from "effect";
import type { CliCommand } from "../../command.js";
import { exitCodes } from "../../exit-codes.js";
import { awaitStopSignal } from "../../process/await-stop-signal.js";
import { runDemo } from "./dev-demo.js";
import { startDevSystem } from "./dev-system.js";

const callTimeoutMs = 30_000;

/** Runs the whole system in one process as a demonstration. */
export const devCommand: CliCommand = {
    form: "dev",
    description: "Run the whole system in one process with stand-in minions and workers, and run a short demonstration",
    options: [["--stay", "keep running after the demonstration, until SIGTERM or SIGINT"]],
    examples: ["dev", "dev --stay"],
    run: input =>
        Effect.scoped(Effect.gen(function*() {
            const { io } = input;
            const system = yield* startDevSystem;
            const settings = { entries: [system.rpcAddress], output: "table", timeoutMs: callTimeoutMs } as const;
            const summary = yield* runDemo(io, settings, system);
            if (input.hasFlag("stay")) {
                io.writeLine(`RPC address: ${system.rpcAddress}`);
                yield* awaitStopSignal;
            }
            io.writeLine(
                `seen: ${summary.answers} requests answered, ${summary.tasks} batch tasks succeeded, 1 watch evicted and resumed `
                    + `once from checkpoint ${summary.resumedFrom}`,
            );
            return exitCodes.ok;
        })),
};
