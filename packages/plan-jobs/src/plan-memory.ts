import type { JobStep } from "@chestnutspool/job-state";
import { type ContentionMemory, createContentionMemory } from "./contended-pools.js";
import type { PendingMoves } from "./pending-moves.js";
import type { PlanningPass } from "./planning-pass.js";
import { createStarvationMemory, type StarvationMemory } from "./starved-steps.js";
import type { StepWaits } from "./step-waits.js";
import type { BlockedTrials } from "./trial-obstacles.js";

/**
 * First limit of the ratings of workers in one pass, so that a long backlog does not block the process. At 1,300 workers
 * it allows 15 steps that must each be compared with all of them.
 */
const defaultRatingsPerPass = 20_000;
/**
 * Share of the ratings of a pass that go to the first steps in order. The others go to steps that the earlier passes
 * have not reached, so that none starves behind steps that never fit.
 */
const firstStepsShare = 0.5;
/**
 * Number of passes after which a step that none of them has reached takes turns with the other such steps, so that new steps
 * of a higher priority do not keep it out without end.
 */
const longestPassesUnreached = 10;

/** What the planner remembers from one pass to the next. */
export interface PlanMemory {
    /** Limit of the ratings of workers in the next pass. */
    ratingsPerPass: number;
    /** Steps that passes have reached since all waiting steps were last reached. */
    reached: WeakSet<JobStep>;
    /** Number of the pass that was the first one not to reach a step, for the steps that no later pass has reached. */
    readonly unreachedSince: WeakMap<JobStep, number>;
    /** Number of passes so far. */
    passes: number;
    /** Whether there are waiting steps that were not reached yet, so that the next pass should follow soon. */
    hasStepsLeft: boolean;
    /** The last pass, as it ended; undefined if no step was waiting. */
    lastPass: PlanningPass | undefined;
    readonly starvation: StarvationMemory;
    readonly contention: ContentionMemory;
    readonly trialWaits: StepWaits;
    readonly holdWaits: StepWaits;
    /** Steps of jobs without a run that wait for the ration of starts. */
    readonly rationWaits: StepWaits;
    /** Steps of which the last pass left out tasks because of the ration of starts. */
    stepsLeftOut: number;
    /** Urgent steps of which the last pass found no room for a task. */
    urgentStepsLeft: number;
    /** Steps with tasks that wait for a trial, for the log. */
    readonly blockedTrials: BlockedTrials;
    readonly moves: PendingMoves;
}

/** Creates the memory of a planner that has made no pass. */
export function createPlanMemory(ratingsPerPass = defaultRatingsPerPass): PlanMemory {
    return {
        ratingsPerPass,
        reached: new WeakSet(),
        unreachedSince: new WeakMap(),
        passes: 0,
        hasStepsLeft: false,
        starvation: createStarvationMemory(),
        contention: createContentionMemory(),
        trialWaits: new WeakMap(),
        holdWaits: new WeakMap(),
        rationWaits: new WeakMap(),
        stepsLeftOut: 0,
        urgentStepsLeft: 0,
        lastPass: undefined,
        blockedTrials: new Map(),
        moves: new Map(),
    };
}

/**
 * Lists the steps that were not reached: one that has waited for too many passes, then the next one in order, in turns. Behind all
 * steps of a long backlog an urgent step would wait for as many passes as they have.
 */
function listUnreached<Step extends { readonly step: JobStep; }>(memory: PlanMemory, ordered: readonly Step[]): Step[] {
    const starving: Step[] = [];
    const others: Step[] = [];
    for (const waiting of ordered) {
        if (memory.reached.has(waiting.step)) {
            continue;
        }
        const since = memory.unreachedSince.get(waiting.step) ?? memory.passes;
        memory.unreachedSince.set(waiting.step, since);
        (memory.passes - since >= longestPassesUnreached ? starving : others).push(waiting);
    }
    const listed: Step[] = [];
    for (let position = 0; position < Math.max(starving.length, others.length); position += 1) {
        listed.push(...starving.slice(position, position + 1), ...others.slice(position, position + 1));
    }
    return listed;
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
    memory.passes += 1;
    const plan = (waiting: Step): void => {
        ratings += planStep(waiting);
        memory.reached.add(waiting.step);
        memory.unreachedSince.delete(waiting.step);
    };
    for (; position < ordered.length && ratings < memory.ratingsPerPass * firstStepsShare; position += 1) {
        plan(ordered[position] as Step);
    }
    for (const waiting of listUnreached(memory, ordered.slice(position))) {
        if (ratings >= memory.ratingsPerPass) {
            memory.hasStepsLeft = true;
            return;
        }
        plan(waiting);
    }
    memory.reached = new WeakSet();
    memory.hasStepsLeft = false;
}
