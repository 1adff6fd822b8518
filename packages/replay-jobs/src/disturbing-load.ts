import { advisoryLoad, createKindVariant, type JobKind, type Load } from "./load.js";

const [check, forecast, watch] = advisoryLoad.kinds as readonly [JobKind, JobKind, JobKind];

/**
 * Load of the ash advisory service in which more forecasts arrive than can run beside the watches that they disturb, while more than
 * half of the processors and of the memory are not reserved.
 */
export const disturbingLoad: Load = {
    ...advisoryLoad,
    contendingDisturbance: 5,
    kinds: [
        check,
        createKindVariant(forecast, {
            jobsPerSecond: 5,
            memoryMib: { mean: 3_200, spread: 0.3, largest: 13_000 },
        }),
        createKindVariant(watch, {
            initialJobs: 14,
            execution: {
                ...watch.execution,
                ...(watch.execution.kind === "serving" ? { meanLifetimeMs: 70_000 } : {}),
            },
        }),
    ],
};
