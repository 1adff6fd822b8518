import type { JobState } from "@chestnutspool/job-state";
import { createInterferenceModel } from "@chestnutspool/learn-interference";
import type { PlanInput } from "../plan-input.js";

/** Input of the planner with workers that are all usable and trusted, and nothing learnt. */
export function makePlanInput(state: JobState): PlanInput {
    return {
        state,
        isUsable: () => true,
        findStartLimit: () => undefined,
        findFailedWorker: () => undefined,
        interference: createInterferenceModel(),
        findRunStatuses: () => undefined,
    };
}
