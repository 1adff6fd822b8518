import { dropOldest, type JobId } from "@chestnutspool/types";
import type { WaitLimit } from "./decide-placement-wait.js";
import { createKeptRacks, type KeptRacks } from "./kept-racks.js";
import { createRunTimeModel, observeRunTime, type RunTimeKey, type RunTimeModel } from "./run-times.js";
import { createWaitRecord, observeWait, type WaitRecord } from "./wait-record.js";

/** Why a wait ended. */
export type WaitOutcome =
    /** All tasks of the step got a place in the rack. */
    | "placed"
    /** The place did not come when it was predicted, or is no longer expected by then. */
    | "late"
    /** A longer wait could not pay off. */
    | "notWorthIt"
    | "objectiveNear"
    /** The job had no run for as long as users allow in a service of which most is free. */
    | "withoutRun"
    /** No worker of the rack takes starts any more. */
    | "rackLost"
    | "jobEnded";

/** A step whose tasks wait for places in a rack. Times are in milliseconds since the epoch. */
export interface StepWait {
    readonly key: string;
    readonly job: JobId;
    readonly queue: string;
    readonly service: string;
    readonly rack: string;
    /** Tasks that waited when the wait was decided. */
    readonly tasks: number;
    readonly decidedAtMs: number;
    /** When the last task was expected to start. */
    readonly expectedAtMs: number;
    readonly untilMs: number;
    readonly limit: WaitLimit;
    /** Time that a run in the rack saves, in milliseconds. */
    readonly savedMs: number;
    /** When the last of its tasks got a place; undefined before. */
    placesAtMs: number | undefined;
}

/** A wait that has ended. Times are in milliseconds. */
export interface EndedWait {
    readonly wait: StepWait;
    readonly outcome: WaitOutcome;
    readonly waitedMs: number;
    /** Time by which the step was expected to end earlier than elsewhere. */
    readonly expectedGainMs: number;
    /** The same with the time that it waited; below 0 if it waited in vain. */
    readonly gainMs: number;
}

/** What the planner of a leader remembers about waits for racks. Only estimates: a new leader learns them again. */
export interface PlacementMemory {
    readonly runTimes: RunTimeModel;
    /** Waits in progress, by step key. */
    readonly waits: Map<string, StepWait>;
    /** Steps that have waited in vain and do not wait again; only the latest are kept. */
    readonly failed: Set<string>;
    /** How long the steps waited whose wait brought a place, by step key; only the latest are kept. */
    readonly placedAfterMs: Map<string, number>;
    /** Jobs of which a step has got its places; only the latest are kept. */
    readonly begunJobs: Set<JobId>;
    readonly records: Map<string, WaitRecord>;
    readonly kept: KeptRacks;
    /** Waits that have ended since they were last taken. */
    ended: EndedWait[];
    /** When the next wait ends; undefined without one. */
    wakeAtMs: number | undefined;
}

/** Steps of which it is kept how their waits ended. */
const endedStepLimit = 1_000;

/** Creates the memory of a leader that has planned nothing. */
export function createPlacementMemory(): PlacementMemory {
    return {
        runTimes: createRunTimeModel(),
        waits: new Map(),
        failed: new Set(),
        placedAfterMs: new Map(),
        begunJobs: new Set(),
        records: new Map(),
        kept: createKeptRacks(),
        ended: [],
        wakeAtMs: undefined,
    };
}

/** Gets the record of the waits of a service. */
export function getWaitRecord({ records }: PlacementMemory, service: string, nowMs: number): WaitRecord {
    const known = records.get(service) ?? createWaitRecord(nowMs);
    records.set(service, known);
    return known;
}

/** Ends a wait, and learns from it how good the predictions of its service are. */
export function endWait(memory: PlacementMemory, wait: StepWait, outcome: WaitOutcome, nowMs: number): void {
    const { key, service, decidedAtMs, expectedAtMs, savedMs } = wait;
    memory.waits.delete(key);
    const waitedMs = nowMs - decidedAtMs;
    const predictedMs = expectedAtMs - decidedAtMs;
    const isPlaced = outcome === "placed";
    if (isPlaced) {
        memory.begunJobs.add(wait.job);
        dropOldest(memory.begunJobs, endedStepLimit);
    }
    else {
        memory.begunJobs.delete(wait.job);
    }
    if (isPlaced && predictedMs === 0) {
        // It found its place at once, so that nothing was predicted.
        return;
    }
    // A lost rack or an ended job says nothing about the predictions.
    if (outcome !== "rackLost" && outcome !== "jobEnded") {
        observeWait(getWaitRecord(memory, service, nowMs), isPlaced, predictedMs, waitedMs, nowMs);
    }
    if (isPlaced) {
        memory.placedAfterMs.set(key, waitedMs);
        dropOldest(memory.placedAfterMs, endedStepLimit);
    }
    else if (outcome !== "jobEnded") {
        memory.failed.add(key);
        dropOldest(memory.failed, endedStepLimit);
    }
    memory.ended.push({
        wait,
        outcome,
        waitedMs,
        expectedGainMs: savedMs - predictedMs,
        gainMs: isPlaced ? savedMs - waitedMs : -waitedMs,
    });
}

/** Takes the waits that have ended since the last call. */
export function takeEndedWaits(memory: PlacementMemory): readonly EndedWait[] {
    const { ended } = memory;
    memory.ended = [];
    return ended;
}

/** A run that has succeeded. */
export interface EndedRun extends RunTimeKey {
    /** Time from the order until the end, in milliseconds. */
    readonly tookMs: number;
    /** Whether it ran away from the rack of its data. */
    readonly isFar: boolean;
}

/**
 * Learns the run time of a task. Returns what the wait of its step has gained for it by its true run time, in
 * milliseconds; undefined if it did not wait or ran elsewhere.
 */
export function observeEndedRun(
    memory: PlacementMemory,
    run: EndedRun,
    farFactor: number,
): number | undefined {
    observeRunTime(memory.runTimes, run, run.isFar ? run.tookMs / farFactor : run.tookMs);
    const waitedMs = memory.placedAfterMs.get(run.step);
    return waitedMs === undefined || run.isFar ? undefined : run.tookMs * (farFactor - 1) - waitedMs;
}
