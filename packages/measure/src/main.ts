import { cac } from "cac";
import { Effect } from "effect";
import { compareFanOut } from "./commands/compare-fan-out/index.js";

const program = cac("measure");
program.command("compare-fan-out", "Plain fan-out against trees for configuration").action(() =>
    Effect.runPromise(compareFanOut)
);
program.help();
program.parse();
