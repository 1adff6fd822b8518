import { advisoryLoad, createKindVariant, type JobKind, type Load } from "./load.js";
import type { LeaderPrices } from "./simulated-leader.js";

const [check, forecast, watch] = advisoryLoad.kinds as readonly [JobKind, JobKind, JobKind];

/**
 * Creates the load of the advisory service once grown to 378 workers: more starts a second than its leader has time for. `share` is that of
 * the workers and jobs of the deployment.
 */
export function createLargeAdvisoryLoad(share: number): Load {
    return {
        ...advisoryLoad,
        workers: Math.round(378 * share),
        workersPerRack: 12,
        stops: { stopMs: 200, checkpointMs: 1_000, restoreMs: 100 },
        kinds: [
            createKindVariant(check, {
                jobsPerSecond: 7.34 * share,
                maxAttempts: 4,
                tasksPerStep: { mean: 9.4, spread: 0.8, largest: 56 },
                workMs: { mean: 1_000, spread: 0.5, largest: 2_500 },
                milliCpu: { mean: 6_400, spread: 0.45, largest: 19_000 },
                memoryMib: { mean: 13_000, spread: 0.3, largest: 26_000 },
            }),
            createKindVariant(forecast, {
                jobsPerSecond: 8.45 * share,
                bursts: { factor: 1.4, lengthMs: 6_000, periodMs: 18_000 },
                initialJobs: Math.round(19 * share),
                tasksPerStep: { mean: 39, spread: 0.6, largest: 160 },
                workMs: { mean: 2_200, spread: 0.5, largest: 5_400 },
                estimateSpread: 0.2,
                value: 1.59,
                lateValue: 0.238,
                execution: { kind: "filling", images: 30 },
            }),
            createKindVariant(watch, {
                jobsPerSecond: 0.407 * share,
                initialJobs: Math.round(73 * share),
                tasksPerStep: { mean: 24, spread: 0.4, largest: 48 },
                workMs: { mean: 500, spread: 0.5, largest: 1_200 },
                value: 0.292,
                lateValue: 0.0438,
                execution: {
                    kind: "serving",
                    images: 16,
                    unloadedTailMs: 4,
                    targetMs: 18,
                    load: 0.42,
                    loadAmplitude: 0.5,
                    loadPeriodMs: 10_000,
                    meanLifetimeMs: 70_000,
                },
            }),
        ],
    };
}

/** Prices of the leader of that deployment, by its lines `leader load`, in milliseconds of the event loop. */
export const largeAdvisoryPrices: LeaderPrices = {
    renewalMs: 0.35,
    endsMs: 0.1,
    orderMs: 0.25,
    paceMs: 0.1,
    passMs: 0.2,
    passWorkerMs: 0.01,
    passStepMs: 0.05,
    scanRunMs: 0.0015,
};
