import type { ImageUsage } from "./interference-model.js";

/** Time in which tail readings follow half of a change, in milliseconds; readings are smoothed over half a second. */
const halfLifeMs = 250;
/** Share below which past usage is dropped. */
const negligibleShare = 0.002;

interface SmoothedUsage {
    share: number;
    smoothedShare: number;
}

/** Usage of the processors of one worker over time, by image. */
export interface UsageHistory {
    /** Records the usage from `nowMs` on, by image. Times are monotonic, in milliseconds. */
    readonly recordUsage: (shares: ReadonlyMap<string, number>, nowMs: number) => void;
    /** Lists the usage at the time of the last record. */
    readonly listUsage: () => readonly ImageUsage[];
}

/** Creates an empty history. */
export function createUsageHistory(): UsageHistory {
    const usageByImage = new Map<string, SmoothedUsage>();
    let recordedAtMs: number | undefined;
    return {
        recordUsage: (shares, nowMs) => {
            const remainingShare = recordedAtMs === undefined
                ? 0
                : 0.5 ** (Math.max(0, nowMs - recordedAtMs) / halfLifeMs);
            recordedAtMs = nowMs;
            for (const [image, usage] of usageByImage) {
                usage.smoothedShare = usage.share + (usage.smoothedShare - usage.share) * remainingShare;
                usage.share = shares.get(image) ?? 0;
                if (usage.share === 0 && usage.smoothedShare < negligibleShare) {
                    usageByImage.delete(image);
                }
            }
            for (const [image, share] of shares) {
                if (!usageByImage.has(image)) {
                    usageByImage.set(image, { share, smoothedShare: 0 });
                }
            }
        },
        listUsage: () => [...usageByImage].map(([image, usage]) => ({ image, ...usage })),
    };
}
