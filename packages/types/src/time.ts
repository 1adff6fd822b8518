import { Clock, Effect } from "effect";

const nanosecondsPerMillisecond = 1_000_000n;

/** Monotonic time in milliseconds, for leases, timeouts and intervals; follows Effect's `TestClock` in tests. */
export const readMonotonicMs: Effect.Effect<number> = Effect.map(
    Clock.monotonicTimeNanos,
    nanoseconds => Number(nanoseconds / nanosecondsPerMillisecond),
);

/** Wall-clock time in milliseconds since the epoch, for records and deadlines of jobs; may step. */
export const readWallMs: Effect.Effect<number> = Clock.currentTimeMillis;
