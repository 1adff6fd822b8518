import { makeStep } from "@chestnutspool/job-state/fakes";
import { createPlacementMemory, type PlacementMemory } from "../placement-memory.js";
import { type PlacementPlan, planPlacementWaits, type StepWant, type WaitPassInput } from "../plan-placement-waits.js";
import type { RackWorker } from "../rack-forecast.js";

/** Wall-clock time at which tests start, in milliseconds since the epoch. */
export const startMs = 1_000_000;

const spec = makeStep({ rackOfData: "r1" });

/** A step with one task of one core and one second that wants rack `r1`, with an objective far away. */
export function makeWant(key: string, changes: Partial<StepWant> = {}): StepWant {
    const ofStep = { ...spec, ...changes.spec };
    const tasks = changes.tasks ?? 1;
    return {
        key,
        job: key,
        queue: "main",
        service: "pool",
        priority: 0,
        tasks,
        startsAtMs: startMs,
        later: [],
        racks: ["r1"],
        isBegun: false,
        hasRun: false,
        need: {
            resources: ofStep.resources,
            runMs: 1_000,
            canRunOn: () => true,
            perWorkerLimit: undefined,
            listOwnEnds: () => [],
        },
        readyAtMs: startMs,
        objectiveAtMs: startMs + 60_000,
        laterMs: 0,
        workLeft: tasks * 1_000,
        ...changes,
        spec: ofStep,
    };
}

/** A worker with free cores, and with runs of one core that are expected to end after some milliseconds. */
export function makeRackWorker(id: string, freeCores: number, endsAfterMs: readonly number[] = []): RackWorker {
    return {
        id,
        free: { milliCpu: freeCores * 1_000, memoryMib: 10_000, accelerators: 0 },
        ends: endsAfterMs.map(afterMs => ({
            atMs: startMs + afterMs,
            resources: { milliCpu: 1_000, memoryMib: 100, accelerators: 0 },
        })),
    };
}

/** Racks of a service with many other workers, and a memory over several passes. */
export interface TestRacks {
    racks: Readonly<Record<string, readonly RackWorker[]>>;
    closedJobs: ReadonlySet<string>;
    readonly memory: PlacementMemory;
    readonly plan: (wants: readonly StepWant[], afterMs?: number) => PlacementPlan;
}

/**
 * Creates racks by name; tasks run three times longer outside of the one that they want. `loadShare` of the processors of the service
 * are in use.
 */
export function makeRacks(racks: Readonly<Record<string, readonly RackWorker[]>>, loadShare = 0.5): TestRacks {
    const memory = createPlacementMemory();
    const test: TestRacks = {
        racks,
        closedJobs: new Set(),
        memory,
        plan: (wants, afterMs = 0) => {
            const input: WaitPassInput = {
                wants,
                farFactor: 3,
                listRackWorkers: (service, rack) => test.racks[rack] ?? [],
                summarizeService: () => ({ workers: 100, loadShare }),
                isJobOpen: job => !test.closedJobs.has(job),
            };
            return planPlacementWaits(input, memory, startMs + afterMs);
        },
    };
    return test;
}
