import type { JobId, StepSpec, WorkerId } from "@chestnutspool/types";
import { decidePlacementWait, latenessMs, latenessShare, type WaitLimit } from "./decide-placement-wait.js";
import { listKeptWorkers } from "./kept-racks.js";
import { endWait, getWaitRecord, type PlacementMemory, type StepWait, type WaitOutcome } from "./placement-memory.js";
import {
    createRackForecast,
    type PlacedTasks,
    placeTasks,
    type RackForecast,
    type RackWorker,
    type TaskNeed,
} from "./rack-forecast.js";
import { computeWaitTrust } from "./wait-record.js";

/** A step with tasks that would run longer outside of a rack. Times are in milliseconds since the epoch. */
export interface StepWant {
    /** Result of `formatStepKey`. */
    readonly key: string;
    readonly job: JobId;
    readonly queue: string;
    readonly service: string;
    readonly priority: number;
    readonly spec: StepSpec;
    /** Tasks that may start now. */
    readonly tasks: number;
    /** Racks that would do: that of its data, or one for all its tasks. */
    readonly racks: readonly string[];
    /** Whether it has runs in the rack, which lose their worth for the step if the other tasks go elsewhere. */
    readonly isBegun: boolean;
    readonly need: TaskNeed;
    readonly readyAtMs: number;
    readonly objectiveAtMs: number;
    /** Expected run time of the longest chain of the steps that follow, in milliseconds. */
    readonly laterMs: number;
    /** What its job still has to run in such a rack, in core-milliseconds. */
    readonly workLeft: number;
}

/** Input of one pass over the steps that want a rack. */
export interface WaitPassInput {
    readonly wants: readonly StepWant[];
    /** How many times longer a task runs outside of its rack. */
    readonly farFactor: number;
    /** Workers of a rack on which tasks may start, and what becomes free there. */
    readonly listRackWorkers: (service: string, rack: string) => readonly RackWorker[];
    /** Number of workers of a service, and the share of their processors that is in use. */
    readonly summarizeService: (service: string) => { readonly workers: number; readonly loadShare: number; };
    readonly isJobOpen: (job: JobId) => boolean;
}

/** Where the tasks of a step may start in this pass. */
export type StepPlacement =
    /** Anywhere; away from the kept workers if there are any. */
    | { readonly kind: "start"; }
    /** Only in the rack, and only `startable` of them in this pass, because the other places there are promised. */
    | { readonly kind: "wait"; readonly rack: string; readonly startable: number; };

/** Result of one pass. */
export interface PlacementPlan {
    readonly placements: ReadonlyMap<string, StepPlacement>;
    /** Workers from which tasks without a preference for their rack stay away. */
    readonly keptWorkers: ReadonlySet<WorkerId>;
}

/** Steps that are compared with the forecast of a rack in one pass; a rack with more demand spreads the others at once. */
const stepsPerRack = 40;

interface WaitPass {
    readonly input: WaitPassInput;
    readonly memory: PlacementMemory;
    readonly forecasts: Map<string, RackForecast>;
    /** Steps compared with each forecast in this pass. */
    readonly compared: Map<string, number>;
    /** Racks for which more tasks wait than have room now. */
    readonly contended: Set<string>;
    readonly nowMs: number;
}

function formatRackKey(service: string, rack: string): string {
    return `${service} ${rack}`;
}

function getForecast(pass: WaitPass, service: string, rack: string): RackForecast {
    const key = formatRackKey(service, rack);
    const known = pass.forecasts.get(key)
        ?? createRackForecast(pass.input.listRackWorkers(service, rack), pass.nowMs);
    pass.forecasts.set(key, known);
    return known;
}

/** A rack with the places that all tasks of a step are expected to get there. */
interface RackOffer extends PlacedTasks {
    readonly rack: string;
    readonly lastMs: number;
}

function findRackOffer(pass: WaitPass, want: StepWant, rack: string): RackOffer | undefined {
    const forecast = getForecast(pass, want.service, rack);
    const placed = placeTasks(forecast, want.need, want.tasks, want.spec.gang, pass.nowMs);
    return placed === undefined
        ? undefined
        : { ...placed, rack, lastMs: Math.max(...placed.places.map(({ atMs }) => atMs)) };
}

/** Finds the rack in which the last task of a step is expected to start first. */
function findBestOffer(pass: WaitPass, want: StepWant): RackOffer | undefined {
    let best: RackOffer | undefined;
    for (const rack of want.racks) {
        const key = formatRackKey(want.service, rack);
        const compared = pass.compared.get(key) ?? 0;
        if (compared >= stepsPerRack) {
            continue;
        }
        pass.compared.set(key, compared + 1);
        const offer = findRackOffer(pass, want, rack);
        if (offer !== undefined && (best === undefined || offer.lastMs < best.lastMs)) {
            best = offer;
        }
    }
    return best;
}

function acceptOffer(pass: WaitPass, want: StepWant, { rack, places, forecast, lastMs }: RackOffer): StepPlacement {
    const key = formatRackKey(want.service, rack);
    pass.forecasts.set(key, forecast);
    if (lastMs > pass.nowMs) {
        pass.contended.add(key);
    }
    const startable = places.filter(({ atMs }) => atMs <= pass.nowMs).length;
    const wait = pass.memory.waits.get(want.key);
    if (wait !== undefined) {
        wait.placesAtMs = startable === want.tasks ? pass.nowMs : undefined;
    }
    return { kind: "wait", rack, startable };
}

/** Records that a step found no room in the racks that it wants. */
function refuseRacks(pass: WaitPass, { service, spec: { rackOfData } }: StepWant): StepPlacement {
    // A step that prefers any one rack makes none of them hot.
    if (rackOfData !== undefined) {
        pass.contended.add(formatRackKey(service, rackOfData));
    }
    return { kind: "start" };
}

const outcomeByLimit: Readonly<Record<WaitLimit, WaitOutcome>> = {
    prediction: "late",
    breakEven: "notWorthIt",
    objective: "objectiveNear",
};

/** Continues a wait while its place is still expected in time. */
function continueWait(pass: WaitPass, want: StepWant, wait: StepWait): StepPlacement {
    const { memory, nowMs } = pass;
    if (getForecast(pass, want.service, wait.rack).workers.length === 0) {
        endWait(memory, wait, "rackLost", nowMs);
        return { kind: "start" };
    }
    if (nowMs >= wait.untilMs) {
        endWait(memory, wait, outcomeByLimit[wait.limit], nowMs);
        return refuseRacks(pass, want);
    }
    const offer = findRackOffer(pass, want, wait.rack);
    const toleratedMs = latenessMs + (wait.untilMs - nowMs) * latenessShare;
    if (offer === undefined || offer.lastMs > wait.untilMs + toleratedMs) {
        endWait(memory, wait, "late", nowMs);
        return refuseRacks(pass, want);
    }
    return acceptOffer(pass, want, offer);
}

/** Decides about a step that does not wait yet. */
function decideStep(pass: WaitPass, want: StepWant): StepPlacement {
    const { input: { farFactor, summarizeService }, memory, nowMs } = pass;
    const { key, job, queue, service, tasks, need: { runMs } } = want;
    const offer = memory.failed.has(key) ? undefined : findBestOffer(pass, want);
    if (offer === undefined) {
        return refuseRacks(pass, want);
    }
    const { rack, lastMs } = offer;
    const wait = { key, job, queue, service, rack, tasks, decidedAtMs: nowMs, expectedAtMs: lastMs };
    const savedMs = runMs * (farFactor - 1);
    if (lastMs <= nowMs) {
        // Should the planner not find the room that the forecast sees, the step does not wait for it.
        const untilMs = nowMs + latenessMs;
        memory.waits.set(key, { ...wait, savedMs, untilMs, limit: "prediction", placesAtMs: undefined });
        return acceptOffer(pass, want, offer);
    }
    const { loadShare } = summarizeService(service);
    const trust = computeWaitTrust(getWaitRecord(memory, service, nowMs), nowMs);
    const decision = decidePlacementWait(
        { ...want, runMs, placeAtMs: lastMs, farFactor, loadShare, ...trust },
        nowMs,
    );
    switch (decision.kind) {
        case "start":
            return refuseRacks(pass, want);
        case "wait":
            memory.waits.set(key, {
                ...wait,
                savedMs,
                untilMs: decision.untilMs,
                limit: decision.limit,
                placesAtMs: undefined,
            });
            return acceptOffer(pass, want, offer);
    }
}

/** Whether the job of a step can only be in time in the rack. */
function needsRack({ objectiveAtMs, laterMs, need: { runMs } }: StepWant, farFactor: number, nowMs: number): boolean {
    const leftMs = objectiveAtMs - laterMs - nowMs;
    return runMs <= leftMs && leftMs < runMs * farFactor;
}

/**
 * Sorts by what a place in the rack gains: steps to which places were promised, then by priority, then those that are in
 * time only there. Among these the jobs with the least work left gain most for each place: all tasks save the same share
 * of their run time, and a job gains nothing unless its last task is in time.
 */
function sortWants({ input: { wants, farFactor }, memory, nowMs }: WaitPass): StepWant[] {
    const ranked = wants.map(want => {
        const wait = memory.waits.get(want.key);
        const rank = wait !== undefined || want.isBegun ? 0 : needsRack(want, farFactor, nowMs) ? 1 : 2;
        const sinceMs = wait?.decidedAtMs ?? want.readyAtMs;
        return { want, rank, order: rank === 0 ? sinceMs : want.workLeft };
    });
    return ranked
        .sort((left, right) =>
            Number(left.rank > 0) - Number(right.rank > 0)
            || left.want.priority - right.want.priority
            || left.rank - right.rank
            || left.order - right.order
        )
        .map(({ want }) => want);
}

/** Ends the waits of steps whose tasks have all started, or whose job has ended. */
function endFinishedWaits({ input, memory, nowMs }: WaitPass): void {
    const wanting = new Set(input.wants.map(({ key }) => key));
    for (const wait of [...memory.waits.values()]) {
        if (!wanting.has(wait.key)) {
            // A later pass finds out that all tasks have started.
            const isPlaced = input.isJobOpen(wait.job) || wait.placesAtMs !== undefined;
            endWait(memory, wait, isPlaced ? "placed" : "jobEnded", wait.placesAtMs ?? nowMs);
        }
    }
}

/**
 * Decides for all steps that want a rack whether their tasks wait for it, and which workers others stay away from.
 * `nowMs` is wall-clock time in milliseconds since the epoch.
 */
export function planPlacementWaits(input: WaitPassInput, memory: PlacementMemory, nowMs: number): PlacementPlan {
    const pass: WaitPass = {
        input,
        memory,
        forecasts: new Map(),
        compared: new Map(),
        contended: new Set(),
        nowMs,
    };
    endFinishedWaits(pass);
    const placements = new Map<string, StepPlacement>();
    for (const want of sortWants(pass)) {
        const wait = memory.waits.get(want.key);
        placements.set(want.key, wait === undefined ? decideStep(pass, want) : continueWait(pass, want, wait));
    }
    const untilMs = [...memory.waits.values()].map(wait => wait.untilMs);
    memory.wakeAtMs = untilMs.length === 0 ? undefined : Math.min(...untilMs);
    const parseKey = (key: string): readonly [service: string, rack: string] => {
        const split = key.lastIndexOf(" ");
        return [key.slice(0, split), key.slice(split + 1)];
    };
    const keptWorkers = listKeptWorkers(
        memory.kept,
        pass.contended,
        key => input.listRackWorkers(...parseKey(key)).map(({ id }) => id),
        key => {
            const [service] = parseKey(key);
            return { service, workers: input.summarizeService(service).workers };
        },
        nowMs,
    );
    return { placements, keptWorkers };
}
