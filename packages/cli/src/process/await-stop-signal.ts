import { Effect } from "effect";

/** Waits for SIGTERM or SIGINT and returns its name. */
export const awaitStopSignal: Effect.Effect<NodeJS.Signals> = Effect.callback(resume => {
    const signals = ["SIGTERM", "SIGINT"] as const;
    const handleSignal = (signal: NodeJS.Signals): void => {
        removeHandlers();
        resume(Effect.succeed(signal));
    };
    const removeHandlers = (): void => {
        for (const signal of signals) {
            process.off(signal, handleSignal);
        }
        // A second signal must not break off the drain that the first one began.
        for (const signal of signals) {
            process.on(signal, () => undefined);
        }
    };
    for (const signal of signals) {
        process.on(signal, handleSignal);
    }
});
