import { Effect } from "effect";
import type { CliCommand } from "../../command.js";
import { exitCodes } from "../../exit-codes.js";
import { awaitStopSignal } from "../../process/await-stop-signal.js";
import { runDemo } from "./dev-demo.js";
import { startDevSystem } from "./dev-system.js";

const callLimitMs = 30_000;

/** Runs the whole system in one process for a look at it. */
export const devCommand: CliCommand = {
    form: "dev",
    description: "Run the whole system in one process with stand-in minions and workers, and play a short story",
    options: [["--stay", "go on running after the story, until SIGTERM or SIGINT"]],
    examples: ["dev", "dev --stay"],
    run: input =>
        Effect.scoped(Effect.gen(function*() {
            const { io } = input;
            const system = yield* startDevSystem;
            const settings = { entries: [system.rpcAddress], output: "table", timeoutMs: callLimitMs } as const;
            const seen = yield* runDemo(io, settings, system);
            if (input.hasFlag("stay")) {
                io.writeLine(`RPC address: ${system.rpcAddress}`);
                yield* awaitStopSignal;
            }
            io.writeLine(
                `seen: ${seen.answers} requests answered, ${seen.tasks} batch tasks succeeded, 1 watch evicted and resumed `
                    + `once from checkpoint ${seen.resumedFrom}`,
            );
            return exitCodes.ok;
        })),
};
