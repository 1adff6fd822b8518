import { cac } from "cac";
import { Effect } from "effect";
import { compareFanOut } from "./commands/compare-fan-out/index.js";
import { measureCapacity } from "./commands/measure-capacity/index.js";
import { measureConfiguration } from "./commands/measure-configuration/index.js";
import { measureEntryLoss } from "./commands/measure-entry-loss/index.js";
import { measureFailures } from "./commands/measure-failures/index.js";
import { measureIdle } from "./commands/measure-idle/index.js";
import { measureMessageSizes } from "./commands/measure-message-sizes/index.js";
import { measureRequestPath } from "./commands/measure-request-path/index.js";
import { measureState } from "./commands/measure-state/index.js";

const program = cac("measure");
program.command("compare-fan-out", "Plain fan-out against trees for configuration").action(() =>
    Effect.runPromise(compareFanOut)
);
program.command("request-path", "Time of a request through entry hosts against a direct call").action(
    measureRequestPath,
);
program.command("idle", "Processor time and memory of each role without load").action(measureIdle);
program.command("entry-loss", "What a killed entry host blocks and for how long").action(measureEntryLoss);
program.command("configuration", "Time until a revision is in force everywhere").action(measureConfiguration);
program.command("state", "Cost of the replicated state at the target size").action(measureState);
program.command("failures", "Load while processes are killed, frozen and restarted")
    .option("--seed <number>", "Seed of the faults")
    .option("--requests <number>", "Requests in all")
    .action(measureFailures);
program.command("capacity", "Processor time and memory of each role by number of workers").action(measureCapacity);
program.command("message-sizes", "Size of the messages of workers and minions").action(measureMessageSizes);
program.help();
program.parse();
