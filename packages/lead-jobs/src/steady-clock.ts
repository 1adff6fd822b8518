import { Effect } from "effect";

/**
 * Largest change of the difference between the two clocks, as a share of the time that has passed. A step of some seconds
 * that is taken back soon changes next to nothing, and one that stays is followed within a minute.
 */
const largestSlew = 0.1;
const nanosecondsPerMillisecond = 1_000_000;

/**
 * Clock of one term: wall-clock time without its steps. The age of jobs decides which of them goes first, and a step
 * would make all that wait look late, or new ones look older than those that wait.
 */
export interface SteadyClock {
    /** Difference between the time that the clock shows and monotonic time, in milliseconds. */
    offsetMs: number;
    /** Monotonic time of the last reading, in milliseconds. */
    readAtMs: number;
}

/** Creates a clock that shows the wall-clock time `wallMs` at the monotonic time `nowMs`, both in milliseconds. */
export function createSteadyClock(nowMs: number, wallMs: number): SteadyClock {
    return { offsetMs: wallMs - nowMs, readAtMs: nowMs };
}

/** Reads the clock at the monotonic time `nowMs`, when the wall clock shows `wallMs`; milliseconds since the epoch. */
export function readSteadyClock(clock: SteadyClock, nowMs: number, wallMs: number): number {
    const limitMs = Math.max(0, nowMs - clock.readAtMs) * largestSlew;
    const differenceMs = wallMs - nowMs - clock.offsetMs;
    clock.offsetMs += Math.min(limitMs, Math.max(-limitMs, differenceMs));
    clock.readAtMs = Math.max(clock.readAtMs, nowMs);
    return Math.round(nowMs + clock.offsetMs);
}

/** Reads the clock of a term now, in milliseconds since the epoch. */
export function readTermMs({ clock }: { readonly clock: SteadyClock; }): Effect.Effect<number> {
    return Effect.clockWith(now =>
        Effect.sync(() =>
            readSteadyClock(
                clock,
                Number(now.monotonicTimeNanosUnsafe()) / nanosecondsPerMillisecond,
                now.currentTimeMillisUnsafe(),
            )
        )
    );
}
