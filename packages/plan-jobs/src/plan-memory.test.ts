import type { JobStep } from "@chestnutspool/job-state";
import assert from "node:assert/strict";
import { test } from "node:test";
import { createPlanMemory, planWithinLimit } from "./plan-memory.js";

/** Ratings of a step that is compared with each worker of a deployment with 378 workers. */
const ratingsPerStep = 378;
/** The least limit of a pass, to which a leader without processor time comes. */
const ratingsPerPass = 5_000;
/** Passes after which a step that none has reached takes turns with the other such steps. */
const longestPassesUnreached = 10;

interface QueuedStep {
    readonly step: JobStep;
    readonly priority: number;
    readonly arrivedInPass: number;
}

function createQueuedStep(priority: number, arrivedInPass: number): QueuedStep {
    return { step: {} as JobStep, priority, arrivedInPass };
}

/**
 * Makes passes over a backlog of a lower priority while urgent steps arrive before each pass; urgent steps start when they are planned,
 * and those of the backlog find no room. Returns the most passes that an urgent step has waited for, and the pass in which the last
 * step of the backlog was planned first.
 */
function planShortPasses(passes: number, urgentPerPass: number, backlogSteps: number) {
    const memory = createPlanMemory(ratingsPerPass);
    const backlog = Array.from({ length: backlogSteps }, () => createQueuedStep(2, 0));
    let urgent: QueuedStep[] = [];
    const reached = new Map<QueuedStep, number>();
    let longestUrgentWait = 0;
    for (let pass = 0; pass < passes; pass += 1) {
        urgent.push(...Array.from({ length: urgentPerPass }, () => createQueuedStep(1, pass)));
        const started = new Set<QueuedStep>();
        planWithinLimit(memory, [...urgent, ...backlog], waiting => {
            if (!reached.has(waiting)) {
                reached.set(waiting, pass);
            }
            if (waiting.priority === 1) {
                started.add(waiting);
                longestUrgentWait = Math.max(longestUrgentWait, pass - waiting.arrivedInPass);
            }
            return ratingsPerStep;
        });
        urgent = urgent.filter(waiting => !started.has(waiting));
    }
    const lastReached = Math.max(...backlog.map(waiting => reached.get(waiting) ?? passes));
    return { longestUrgentWait, lastReached };
}

// Guards against urgent steps that wait behind a long backlog of a lower priority although a pass could plan them. Half of a pass
// goes to the first steps, and every second step of the rest to those in order.
test("an urgent step waits for no further pass while a leader makes short passes over a long backlog", () => {
    const urgentPerPass = 8;
    assert.ok(urgentPerPass * ratingsPerStep < ratingsPerPass * 0.75);
    assert.equal(planShortPasses(200, urgentPerPass, 600).longestUrgentWait, 0);
});

// Guards against a backlog that is never compared with the workers because urgent steps come in each pass.
test("each step of a backlog is planned while urgent steps take half of each pass and more", () => {
    const backlogSteps = 300;
    const stepsPerPass = ratingsPerPass / 4 / ratingsPerStep;
    const limit = longestPassesUnreached + backlogSteps / stepsPerPass;
    const { lastReached } = planShortPasses(200, 8, backlogSteps);
    assert.ok(lastReached <= limit, `planned in pass ${lastReached}, expected by ${limit}`);
});
