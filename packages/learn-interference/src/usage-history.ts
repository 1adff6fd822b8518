import type { ImageUsage } from "./interference-model.js";

/** Time in which a tail reading follows half of a change, in milliseconds; readings are smoothed over half a second. */
const halfLifeMs = 250;
/** Share below which a past use no longer matters. */
const negligibleShare = 0.002;

interface SmoothedUse {
    share: number;
    smoothedShare: number;
}

/** Use of the processors of one worker over time, by image. */
export interface UsageHistory {
    /** Notes the present uses; they hold from now on. Times are monotonic, in milliseconds. */
    readonly recordUsage: (shares: ReadonlyMap<string, number>, nowMs: number) => void;
    readonly listUsage: () => readonly ImageUsage[];
}

/** Creates the history of a worker that nothing has used. */
export function createUsageHistory(): UsageHistory {
    const uses = new Map<string, SmoothedUse>();
    let recordedAtMs: number | undefined;
    return {
        recordUsage: (shares, nowMs) => {
            const kept = recordedAtMs === undefined ? 0 : 0.5 ** (Math.max(0, nowMs - recordedAtMs) / halfLifeMs);
            recordedAtMs = nowMs;
            for (const [image, use] of uses) {
                use.smoothedShare = use.share + (use.smoothedShare - use.share) * kept;
                use.share = shares.get(image) ?? 0;
                if (use.share === 0 && use.smoothedShare < negligibleShare) {
                    uses.delete(image);
                }
            }
            for (const [image, share] of shares) {
                if (!uses.has(image)) {
                    uses.set(image, { share, smoothedShare: 0 });
                }
            }
        },
        listUsage: () => [...uses].map(([image, use]) => ({ image, ...use })),
    };
}
