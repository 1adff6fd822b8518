import type { JobStep } from "@chestnutspool/job-state";

/**
 * Limit of the ratings of workers in one pass, so that a long backlog does not block the process. At 1,300 workers it
 * allows 15 steps that must each be compared with all of them.
 */
const defaultRatingsPerPass = 20_000;
/**
 * Share of the ratings of a pass that go to the first steps in order. The others go to steps that the earlier passes
 * have not reached, so that none starves behind steps that never fit.
 */
const firstStepsShare = 0.5;

/** What the planner remembers from one pass to the next. */
export interface PlanMemory {
    readonly ratingsPerPass: number;
    /** Steps that passes have reached since all waiting steps were last reached. */
    reached: WeakSet<JobStep>;
    /** Whether there are waiting steps that were not reached yet, so that the next pass should follow soon. */
    hasStepsLeft: boolean;
}

/** Creates the memory of a planner that has made no pass. */
export function createPlanMemory(ratingsPerPass = defaultRatingsPerPass): PlanMemory {
    return { ratingsPerPass, reached: new WeakSet(), hasStepsLeft: false };
}

/**
 * Plans the steps in order by `planStep`, which returns the ratings that it made, until the limit of one pass is
 * reached.
 */
export function planWithinLimit<Step extends { readonly step: JobStep; }>(
    memory: PlanMemory,
    ordered: readonly Step[],
    planStep: (waiting: Step) => number,
): void {
    let ratings = 0;
    let position = 0;
    const plan = (waiting: Step): void => {
        ratings += planStep(waiting);
        memory.reached.add(waiting.step);
    };
    for (; position < ordered.length && ratings < memory.ratingsPerPass * firstStepsShare; position += 1) {
        plan(ordered[position] as Step);
    }
    for (const waiting of ordered.slice(position).filter(({ step }) => !memory.reached.has(step))) {
        if (ratings >= memory.ratingsPerPass) {
            memory.hasStepsLeft = true;
            return;
        }
        plan(waiting);
    }
    memory.reached = new WeakSet();
    memory.hasStepsLeft = false;
}
