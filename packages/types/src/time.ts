import { Clock, Effect } from "effect";

const nanosecondsPerMillisecond = 1_000_000n;

/** Monotonic time in milliseconds, for leases, timeouts and intervals; follows Effect's `TestClock` in tests. */
export const readMonotonicMs: Effect.Effect<number> = Effect.map(
    Clock.monotonicTimeNanos,
    nanoseconds => Number(nanoseconds / nanosecondsPerMillisecond),
);

/** Wall-clock time in milliseconds since the epoch, for records and deadlines of jobs; may step. */
export const readWallMs: Effect.Effect<number> = Clock.currentTimeMillis;

/**
 * Waits until data that had arrived at the sockets of this process is read and handled. Timers run before sockets are read,
 * so after a time in which the process was busy a limit is over while the answer still waits in a buffer.
 */
export const awaitSocketReads: Effect.Effect<void> = Effect.gen(function*() {
    // Each yield lasts until the next check phase of the event loop. The first one may begin while sockets are read, the second
    // one spans a whole poll phase, and in the third one run the fibers that it resumed.
    yield* Effect.yieldNow;
    yield* Effect.yieldNow;
    yield* Effect.yieldNow;
});
