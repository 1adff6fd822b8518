import { Effect } from "effect";

/** Waits for SIGTERM or SIGINT and returns its name. */
export const awaitStopSignal: Effect.Effect<NodeJS.Signals> = Effect.callback(resume => {
    const signals = ["SIGTERM", "SIGINT"] as const;
    const handleSignal = (signal: NodeJS.Signals): void => {
        setIgnoringHandlers();
        resume(Effect.succeed(signal));
    };
    const setIgnoringHandlers = (): void => {
        for (const signal of signals) {
            process.off(signal, handleSignal);
        }
        // A second signal must not interrupt the drain that the first one started.
        for (const signal of signals) {
            process.on(signal, () => undefined);
        }
    };
    for (const signal of signals) {
        process.on(signal, handleSignal);
    }
});
