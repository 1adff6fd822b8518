import { parseSettings } from "@chestnutspool/settings";
import type { ErrorData, ProcessSettings } from "@chestnutspool/types";
import { Effect } from "effect";
import { reservePorts } from "../../process/reserve-ports.js";

/** Settings of the one process that `dev` runs: both roles on loopback, with ports from `reservePorts`. */
export const createDevSettings = Effect.fnUntraced(function*(dataFolder: string) {
    const [rpcPort = 0, peerPort = 0] = yield* reservePorts(2);
    const text = [
        "[process]",
        "id=dev",
        "roles=control, entry",
        "host=localhost",
        "region=dev",
        "availability_zone=dev-a",
        `data_folder=${dataFolder}`,
        "log_level=error",
        "[listen]",
        `rpc_port=${rpcPort}`,
        `peer_port=${peerPort}`,
        "[control]",
        `dev=127.0.0.1:${peerPort}`,
    ].join("\n");
    return yield* parseSettings(text, "dev").caseOf<Effect.Effect<ProcessSettings, ErrorData>>({
        Left: error => Effect.fail(error),
        Right: settings => Effect.succeed(settings),
    });
});
