import { makeJob } from "@chestnutspool/job-state/fakes";
import { readMonotonicMs, type StepSpec } from "@chestnutspool/types";
import { Effect } from "effect";
import type { TestSystem } from "./test-system.js";
import type { WorkerFault } from "./worker-types.js";

/** Faults of a worker, by number. */
export const workerFaults: readonly WorkerFault[] = ["none", "cut", "answersLost", "late", "startsLate"];

/** What happens to a test system at a random moment; workers, faults and jobs are numbered from 0. */
export type SystemEvent =
    | { readonly kind: "fault"; readonly worker: number; readonly fault: number; }
    | { readonly kind: "restart"; readonly worker: number; }
    | { readonly kind: "leader"; }
    | { readonly kind: "submit"; }
    | { readonly kind: "cancel"; readonly job: number; };

/** An event and the time after the one before, in milliseconds. */
export interface TimedEvent {
    readonly afterMs: number;
    readonly event: SystemEvent;
}

function createEventPlayer(system: TestSystem, workerIds: readonly string[], steps: readonly StepSpec[]) {
    let jobs = 0;
    let leader = "a";
    return Effect.fnUntraced(function*(event: SystemEvent) {
        switch (event.kind) {
            case "fault":
                system.workers.setFault(workerIds[event.worker] ?? "", workerFaults[event.fault] ?? "none");
                break;
            case "restart":
                system.workers.crashWorker(workerIds[event.worker] ?? "", yield* readMonotonicMs);
                break;
            case "leader":
                leader = leader === "a" ? "b" : "a";
                system.log.setLeader(leader);
                break;
            case "submit":
                yield* system.submit(makeJob(`j${jobs}`, steps));
                jobs += 1;
                break;
            case "cancel": {
                const job = `j${event.job}`;
                yield* system.ask({ kind: "cancelJob", job, hostName: "jobs.example", path: `/main/${job}` });
                break;
            }
        }
    });
}

/**
 * Plays events in a system in which replica `a` leads, then ends the faults and lets `settleMs` pass. Each submitted job has the
 * same steps.
 */
export const playTimedEvents = Effect.fnUntraced(function*(
    system: TestSystem,
    workerIds: readonly string[],
    steps: readonly StepSpec[],
    events: readonly TimedEvent[],
    settleMs: number,
) {
    const playEvent = createEventPlayer(system, workerIds, steps);
    for (const { afterMs, event } of events) {
        yield* system.pass(afterMs);
        yield* playEvent(event);
    }
    workerIds.forEach(id => system.workers.setFault(id, "none"));
    yield* system.pass(settleMs);
});
