import type { ErrorData, ReplicaStatus } from "@chestnutspool/types";
import { Effect } from "effect";

/** A log whose status can be watched. */
interface WatchedLog {
    readonly watchStatus: (listener: (status: ReplicaStatus) => void) => () => void;
}

/**
 * Fails with `serviceFailed` for the given service once the replica has stopped, because only a restart of the process opens
 * it again. Closing the replica stops it too, so that the wait is to end before that.
 */
export function awaitReplicaFailure(log: WatchedLog, service: string): Effect.Effect<never, ErrorData> {
    return Effect.callback<never, ErrorData>(resume => {
        const error: ErrorData = {
            kind: "serviceFailed",
            service,
            detail: "the replica has stopped; the line \"replica stopped\" tells the cause",
        };
        const stopWatching = log.watchStatus(({ role }) => {
            if (role === "stopped") {
                resume(Effect.fail(error));
            }
        });
        return Effect.sync(stopWatching);
    });
}
