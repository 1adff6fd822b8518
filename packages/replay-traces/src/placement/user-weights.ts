import type { PlacementSection } from "@chestnutspool/types";

/** Placement settings of a user that the replays compare. */
export interface UserWeights {
    readonly user: string;
    readonly settings: PlacementSection;
}

const commonSettings = { intervalMs: 50, evictionsPerMinute: 10, highUsePercent: 85 };

/** Moreno Hermanos weigh tail latency first; Hakata weighs batch throughput first, then evictions. */
export const userWeights: readonly UserWeights[] = [
    {
        user: "moreno",
        settings: { ...commonSettings, tailLatencyWeight: 8, batchThroughputWeight: 2, evictionWeight: 2 },
    },
    {
        user: "hakata",
        settings: { ...commonSettings, tailLatencyWeight: 2, batchThroughputWeight: 8, evictionWeight: 4 },
    },
];
