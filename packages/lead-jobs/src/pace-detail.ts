import type { PaceDetail } from "@chestnutspool/plan-jobs";

/** Interval at which paces are planned, in milliseconds; the load of a serving job changes within seconds. */
export const paceIntervalMs: Readonly<Record<PaceDetail, number>> = { fine: 150, coarse: 300 };

/**
 * Smoothed delay of timers from which the thread of the leader has no time left, in milliseconds. Each change of a pace then delays starts,
 * which are worth more to callers.
 */
const busyDelayMs = 8;
/** Delay below which paces are fine again, in milliseconds; half of the above, so that they do not alternate. */
const idleDelayMs = 4;

/** Chooses how finely paces are planned, by the smoothed delay of the leader's timers in milliseconds and the choice before. */
export function choosePaceDetail(before: PaceDetail, delayMs: number): PaceDetail {
    switch (before) {
        case "fine":
            return delayMs >= busyDelayMs ? "coarse" : "fine";
        case "coarse":
            return delayMs < idleDelayMs ? "fine" : "coarse";
    }
}
