import type { JobId, StepSpec, WorkerId } from "@chestnutspool/types";
import {
    decidePlacementWait,
    findRunLimitMs,
    latenessMs,
    latenessShare,
    type WaitLimit,
} from "./decide-placement-wait.js";
import { listKeptRackWorkers } from "./kept-racks.js";
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

/** A step of a job that follows another one in the same rack. */
export interface LaterStep {
    readonly tasks: number;
    readonly isGang: boolean;
    readonly need: TaskNeed;
}

/** A step with tasks that would run longer outside of a rack. Times are in milliseconds since the epoch. */
export interface StepWant {
    /** Result of `formatStepKey`. */
    readonly key: string;
    readonly job: JobId;
    readonly queue: string;
    readonly service: string;
    readonly priority: number;
    readonly spec: StepSpec;
    /** Tasks that may start. */
    readonly tasks: number;
    /** When they may start; later than now for a step whose places are only to be kept from others. */
    readonly startsAtMs: number;
    /** Steps of its job that follow and want the same rack. */
    readonly later: readonly LaterStep[];
    /** Racks that would do: that of its data, or one for all its tasks. */
    readonly racks: readonly string[];
    /** Whether it has runs in the rack, which lose their worth for the step if the other tasks go elsewhere. */
    readonly isBegun: boolean;
    /** Whether its job has a run anywhere. */
    readonly hasRun: boolean;
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
    /**
     * Anywhere, but not on the kept workers, nor in a rack in which all places are promised to others; undefined if there is
     * no such rack.
     */
    | { readonly kind: "start"; readonly avoidedRack?: string | undefined; }
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
    /** Time by which the steps of the job end later there than they would without other tasks, in milliseconds. */
    readonly delayMs: number;
}

function findLastMs({ places }: PlacedTasks): number {
    return Math.max(...places.map(({ atMs }) => atMs));
}

/** Sums the expected run times of a step and of those that follow it in the rack, in milliseconds. */
function sumRunMs({ need, later }: StepWant): number {
    return later.reduce((sum, step) => sum + step.need.runMs, need.runMs);
}

/**
 * Finds the places of a step in a rack and takes those of the steps that follow too: a job gains nothing if its next step
 * finds no room.
 */
function findRackOffer(pass: WaitPass, want: StepWant, rack: string): RackOffer | undefined {
    const fromMs = Math.max(pass.nowMs, want.startsAtMs);
    const placed = placeTasks(getForecast(pass, want.service, rack), want.need, want.tasks, want.spec.gang, fromMs);
    if (placed === undefined) {
        return undefined;
    }
    const lastMs = findLastMs(placed);
    let endMs = lastMs + want.need.runMs;
    let { forecast } = placed;
    for (const { tasks, isGang, need } of want.later) {
        const next = placeTasks(forecast, need, tasks, isGang, endMs);
        if (next === undefined) {
            return undefined;
        }
        endMs = findLastMs(next) + need.runMs;
        ({ forecast } = next);
    }
    return { places: placed.places, forecast, rack, lastMs, delayMs: endMs - fromMs - sumRunMs(want) };
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
        if (offer !== undefined && (best === undefined || offer.delayMs < best.delayMs)) {
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
function refuseRacks(pass: WaitPass, want: StepWant): StepPlacement {
    const { service, spec: { rackOfData } } = want;
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
    withoutRun: "withoutRun",
};

/** Whether the job of a step needs a run now, wherever there is room. */
function mustStart({ input, nowMs }: WaitPass, want: StepWant): boolean {
    const { loadShare } = input.summarizeService(want.service);
    return nowMs >= findRunLimitMs({ ...want, loadShare });
}

/** Continues a wait while its place is still expected in time. */
function updateWait(pass: WaitPass, want: StepWant, wait: StepWait): StepPlacement {
    const { memory, nowMs } = pass;
    if (getForecast(pass, want.service, wait.rack).workers.length === 0) {
        endWait(memory, wait, "rackLost", nowMs);
        return { kind: "start" };
    }
    if (nowMs >= wait.untilMs) {
        endWait(memory, wait, outcomeByLimit[wait.limit], nowMs);
        return refuseRacks(pass, want);
    }
    if (mustStart(pass, want)) {
        endWait(memory, wait, outcomeByLimit.withoutRun, nowMs);
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
    const { rack, lastMs, delayMs } = offer;
    const wait = { key, job, queue, service, rack, tasks, decidedAtMs: nowMs, expectedAtMs: lastMs };
    const savedMs = runMs * (farFactor - 1);
    if (lastMs <= nowMs && delayMs <= latenessMs) {
        // Should the planner not find the room that the forecast sees, the step does not wait for it.
        const untilMs = nowMs + latenessMs;
        memory.waits.set(key, { ...wait, savedMs, untilMs, limit: "prediction", placesAtMs: undefined });
        return acceptOffer(pass, want, offer);
    }
    const { loadShare } = summarizeService(service);
    const trust = computeWaitTrust(getWaitRecord(memory, service, nowMs), nowMs);
    const chainMs = sumRunMs(want);
    const laterMs = Math.max(0, want.laterMs - (chainMs - runMs));
    const decision = decidePlacementWait(
        { ...want, laterMs, runMs: chainMs, placeAtMs: nowMs + delayMs, farFactor, loadShare, ...trust },
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

/** What the rack does for the objective of the job of a step. */
type RackNeed =
    /** The job is in time there only. */
    | "needed"
    /** It is in time elsewhere too. */
    | "optional"
    /** It is late everywhere. */
    | "late";

function rateNeed(want: StepWant, farFactor: number, nowMs: number): RackNeed {
    const chainMs = sumRunMs(want);
    const laterMs = Math.max(0, want.laterMs - (chainMs - want.need.runMs));
    const leftMs = want.objectiveAtMs - laterMs - Math.max(nowMs, want.startsAtMs);
    return leftMs < chainMs ? "late" : leftMs < chainMs * farFactor ? "needed" : "optional";
}

const needRanks: Readonly<Record<RackNeed, number>> = { needed: 2, optional: 3, late: 4 };

/**
 * Sorts by what a place in the rack gains: the steps of jobs that have begun there and are not late, then those to which
 * places were promised, then by priority, then those that are in time only there. Among these the jobs with the least work
 * left gain most for each place: all tasks save the same share of their run time, and a job gains nothing unless its last
 * task is in time.
 */
function sortWants({ input: { wants, farFactor }, memory, nowMs }: WaitPass): StepWant[] {
    const ranked = wants.map(want => {
        const wait = memory.waits.get(want.key);
        const need = rateNeed(want, farFactor, nowMs);
        const isBegun = (want.isBegun || memory.begunJobs.has(want.job)) && need !== "late";
        const rank = isBegun ? 0 : wait !== undefined ? 1 : needRanks[need];
        const order = isBegun ? want.readyAtMs : wait?.decidedAtMs ?? want.workLeft;
        return { want, rank, order };
    });
    return ranked
        .sort((left, right) =>
            Math.min(left.rank, 2) - Math.min(right.rank, 2)
            || left.want.priority - right.want.priority
            || left.rank - right.rank
            || left.order - right.order
        )
        .map(({ want }) => want);
}

/** Takes the places of a step that is not ready yet, if its job has begun in the rack. */
function reservePlaces(pass: WaitPass, want: StepWant): void {
    const offer = pass.memory.begunJobs.has(want.job) ? findBestOffer(pass, want) : undefined;
    if (offer !== undefined && rateNeed(want, pass.input.farFactor, pass.nowMs) !== "late") {
        pass.forecasts.set(formatRackKey(want.service, offer.rack), offer.forecast);
    }
}

/**
 * Keeps the steps that got no place away from a rack for which others wait: a job gains nothing from a part of its tasks in
 * the rack. A step that would have stopped waiting by now takes any place.
 */
function decideAvoidedRack(pass: WaitPass, want: StepWant, placement: StepPlacement): StepPlacement {
    const { input, contended, nowMs } = pass;
    const { service, spec: { rackOfData }, readyAtMs, need: { runMs } } = want;
    const isAvoided = placement.kind === "start" && rackOfData !== undefined
        && contended.has(formatRackKey(service, rackOfData)) && nowMs < readyAtMs + runMs * (input.farFactor - 1)
        && !mustStart(pass, want);
    return isAvoided ? { kind: "start", avoidedRack: rackOfData } : placement;
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
        if (want.startsAtMs > nowMs) {
            reservePlaces(pass, want);
            continue;
        }
        const wait = memory.waits.get(want.key);
        placements.set(want.key, wait === undefined ? decideStep(pass, want) : updateWait(pass, want, wait));
    }
    for (const want of input.wants) {
        const placement = placements.get(want.key);
        if (placement !== undefined) {
            placements.set(want.key, decideAvoidedRack(pass, want, placement));
        }
    }
    const untilMs = [...memory.waits.values()].map(wait => wait.untilMs);
    memory.wakeAtMs = untilMs.length === 0 ? undefined : Math.min(...untilMs);
    const parseKey = (key: string): readonly [service: string, rack: string] => {
        const split = key.lastIndexOf(" ");
        return [key.slice(0, split), key.slice(split + 1)];
    };
    const keptWorkers = listKeptRackWorkers(
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
