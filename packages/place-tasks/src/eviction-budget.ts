import type { ClusterState } from "@chestnutspool/types";

/** Window of the eviction budget in milliseconds. */
const windowMs = 60_000;

/** Limits the evictions within any minute. */
export interface EvictionBudget {
    /** Forgets old evictions; the first call counts those of an earlier leader from the events of the state. */
    readonly updateBudget: (state: ClusterState, nowMs: number) => void;
    /** Evictions that may still be requested now. */
    readonly countLeft: () => number;
    readonly recordEviction: (nowMs: number) => void;
}

/** Creates a budget of `evictionsPerMinute` evictions within any minute. */
export function createEvictionBudget(evictionsPerMinute: number): EvictionBudget {
    let times: number[] | undefined;
    return {
        updateBudget: (state, nowMs) => {
            times ??= state.events.filter(event => event.kind === "taskEvicted").map(event => event.atMs);
            // A wall clock that was set back must not block evictions for longer than the window.
            times = times.map(atMs => Math.min(atMs, nowMs)).filter(atMs => nowMs - atMs < windowMs);
        },
        countLeft: () => Math.max(0, evictionsPerMinute - (times?.length ?? 0)),
        recordEviction: nowMs => {
            times?.push(nowMs);
        },
    };
}
