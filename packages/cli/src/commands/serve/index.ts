import { describeError } from "@chestnutspool/errors";
import { loadSettings } from "@chestnutspool/settings";
import type { ProcessSettings } from "@chestnutspool/types";
import { Effect, Fiber } from "effect";
import type { CliCommand } from "../../command.js";
import { exitCodes } from "../../exit-codes.js";
import { type CliFailure, createUsageFailure, mapErrorToFailure } from "../../failure.js";
import { awaitStopSignal } from "../../process/await-stop-signal.js";
import { awaitReplicaFailure, controlKey, createProcess, entryKey, linkKey } from "../../process/create-process.js";
import { readOption } from "../../read-options.js";

/** Runs a process with the roles of its settings until SIGTERM or SIGINT, or until its replica has stopped. */
export const serveCommand: CliCommand = {
    form: "serve",
    description: "Run a process; SIGTERM or SIGINT drains it and ends it with exit code 0",
    options: [["--config <file>", "settings file; required"]],
    examples: ["serve --config /etc/chestnutspool.ini"],
    run: Effect.fnUntraced(function*(input) {
        const file = readOption(input, "config");
        if (file === undefined) {
            return yield* Effect.fail(createUsageFailure("--config is missing", "give --config FILE"));
        }
        const settings = yield* loadSettings(file).caseOf<Effect.Effect<ProcessSettings, CliFailure>>({
            Left: error => Effect.fail(mapErrorToFailure(error)),
            Right: loaded => Effect.succeed(loaded),
        });
        const { kernel, logger } = createProcess(settings);
        const stopSignal = yield* Effect.forkChild(awaitStopSignal, { startImmediately: true });
        yield* Effect.mapError(kernel.startAll, mapErrorToFailure);
        // A replica that is not a member yet also lists itself; an operator needs the logged identity to add it as a member.
        const replicaIdentity = settings.process.roles.includes("control")
            ? kernel.findService(controlKey).readStatus().members.find(member => member.id === settings.process.id)
                ?.replicaIdentity
            : undefined;
        const rpcAddress = settings.process.roles.includes("entry")
            ? kernel.findService(entryKey).rpcAddress
            : undefined;
        logger.info("process started", {
            process: settings.process.id,
            roles: settings.process.roles.join(","),
            peerAddress: kernel.findService(linkKey).address,
            rpcAddress,
            replicaIdentity,
        });
        // A replica that has stopped works again only after a restart, which the service manager makes when the process has ended.
        const signal = yield* Effect.raceFirst(Fiber.join(stopSignal), awaitReplicaFailure(kernel, settings)).pipe(
            Effect.tapError(error =>
                Effect.andThen(
                    Effect.sync(() => logger.error("process failed", { detail: describeError(error) })),
                    kernel.stopAll,
                )
            ),
            Effect.mapError(mapErrorToFailure),
        );
        logger.info("process draining", { signal });
        yield* kernel.stopAll;
        logger.info("process stopped");
        return exitCodes.ok;
    }),
};
