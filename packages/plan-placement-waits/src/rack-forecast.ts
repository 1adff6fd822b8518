import { addResources, findShortage, type Resources, subtractResources, type WorkerId } from "@chestnutspool/types";

/** A worker of a rack on which tasks may start, with what is expected to become free there. */
export interface RackWorker {
    readonly id: WorkerId;
    readonly free: Resources;
    /** Expected ends of the runs that end by themselves; wall-clock time in milliseconds since the epoch. */
    readonly ends: readonly { readonly atMs: number; readonly resources: Resources; }[];
}

/** What a worker has free from a time on, until the next segment. */
interface Segment {
    readonly atMs: number;
    free: Resources;
}

/** Expected free resources of the workers of a rack, less what was promised to tasks. */
export interface RackForecast {
    readonly workers: readonly { readonly id: WorkerId; readonly segments: Segment[]; }[];
}

/** What one task of a step takes. */
export interface TaskNeed {
    readonly resources: Resources;
    readonly runMs: number;
    /** Whether the worker has the label that the task requires. */
    readonly canRunOn: (worker: WorkerId) => boolean;
    /** Most tasks of the step on one worker; undefined without a limit. */
    readonly perWorkerLimit: number | undefined;
    /** Expected ends of the runs of the step on a worker, in milliseconds since the epoch. */
    readonly listOwnEnds: (worker: WorkerId) => readonly number[];
}

/** A place that a task is expected to get. */
export interface ExpectedPlace {
    readonly worker: WorkerId;
    readonly atMs: number;
}

/** Forecasts the free resources of a rack from `nowMs` on. */
export function createRackForecast(workers: readonly RackWorker[], nowMs: number): RackForecast {
    return {
        workers: workers.map(({ id, free, ends }) => {
            const segments: Segment[] = [{ atMs: nowMs, free }];
            for (const { atMs, resources } of [...ends].sort((left, right) => left.atMs - right.atMs)) {
                const last = segments.at(-1) as Segment;
                segments.push({ atMs: Math.max(atMs, last.atMs), free: addResources(last.free, resources) });
            }
            return { id, segments };
        }),
    };
}

/** Finds the earliest time at which a worker has room for the whole run of a task; undefined if it never has. */
function findRoom(segments: readonly Segment[], { resources, runMs }: TaskNeed, fromMs: number): number | undefined {
    for (let first = 0; first < segments.length; first += 1) {
        const next = segments[first + 1];
        if (next !== undefined && next.atMs <= fromMs) {
            continue;
        }
        const startMs = Math.max(fromMs, (segments[first] as Segment).atMs);
        let position = first;
        let segment = segments[position];
        while (
            segment !== undefined && segment.atMs < startMs + runMs
            && findShortage(resources, segment.free) === undefined
        ) {
            position += 1;
            segment = segments[position];
        }
        if (segment === undefined || segment.atMs >= startMs + runMs) {
            return startMs;
        }
        // No start before the segment without room can last until its end.
        first = position;
    }
    return undefined;
}

function splitSegment(segments: Segment[], atMs: number): void {
    const position = segments.findIndex(segment => segment.atMs >= atMs);
    if (position >= 0 && segments[position]?.atMs === atMs) {
        return;
    }
    const previous = segments[position < 0 ? segments.length - 1 : position - 1];
    if (previous !== undefined) {
        segments.splice(position < 0 ? segments.length : position, 0, { atMs, free: previous.free });
    }
}

function takeRoom(segments: Segment[], { resources, runMs }: TaskNeed, atMs: number): void {
    splitSegment(segments, atMs);
    splitSegment(segments, atMs + runMs);
    for (const segment of segments) {
        if (segment.atMs >= atMs && segment.atMs < atMs + runMs) {
            segment.free = subtractResources(segment.free, resources);
        }
    }
}

function createForecastCopy({ workers }: RackForecast): RackForecast {
    return {
        workers: workers.map(({ id, segments }) => ({ id, segments: segments.map(segment => ({ ...segment })) })),
    };
}

/** Places of the tasks of a step, and the forecast once they are taken. */
export interface PlacedTasks {
    readonly places: readonly ExpectedPlace[];
    readonly forecast: RackForecast;
}

/** Places tasks one by one at their earliest times from `fromMs` on; undefined if one never finds a place. */
function placeTasksFrom(
    forecast: RackForecast,
    need: TaskNeed,
    tasks: number,
    fromMs: number,
): PlacedTasks | undefined {
    const after = createForecastCopy(forecast);
    const suitable = after.workers.filter(({ id }) => need.canRunOn(id));
    const places: ExpectedPlace[] = [];
    const slots = new Map<WorkerId, number[]>();
    for (const { id } of suitable) {
        const free = Math.max(0, (need.perWorkerLimit ?? 0) - need.listOwnEnds(id).length);
        slots.set(id, [...new Array<number>(free).fill(fromMs), ...need.listOwnEnds(id)].sort((a, b) => a - b));
    }
    for (let task = 0; task < tasks; task += 1) {
        let best: { readonly worker: RackForecast["workers"][number]; readonly atMs: number; } | undefined;
        for (const worker of suitable) {
            const slotMs = need.perWorkerLimit === undefined ? fromMs : slots.get(worker.id)?.[0];
            const atMs = slotMs === undefined ? undefined : findRoom(worker.segments, need, Math.max(fromMs, slotMs));
            if (atMs !== undefined && (best === undefined || atMs < best.atMs)) {
                best = { worker, atMs };
            }
        }
        if (best === undefined) {
            return undefined;
        }
        const { worker, atMs } = best;
        takeRoom(worker.segments, need, atMs);
        places.push({ worker: worker.id, atMs });
        const ofWorker = slots.get(worker.id) ?? [];
        ofWorker.shift();
        slots.set(worker.id, [...ofWorker, atMs + need.runMs].sort((left, right) => left - right));
    }
    return { places, forecast: after };
}

/** Times after which no further start of a gang is tried; the ends of runs on one rack are fewer. */
const gangTimesTried = 40;

/**
 * Places the tasks of a step at their expected times from `fromMs` on: one by one, or all at the same time if it is a gang. Undefined if
 * the rack can't hold them, which for a gang means all at once.
 */
export function placeTasks(
    forecast: RackForecast,
    need: TaskNeed,
    tasks: number,
    isGang: boolean,
    fromMs: number,
): PlacedTasks | undefined {
    if (!isGang) {
        return placeTasksFrom(forecast, need, tasks, fromMs);
    }
    const times = new Set([fromMs, ...forecast.workers.flatMap(({ segments }) => segments.map(({ atMs }) => atMs))]);
    const tried = [...times].filter(atMs => atMs >= fromMs).sort((left, right) => left - right).slice(
        0,
        gangTimesTried,
    );
    for (const triedMs of tried) {
        const placed = placeTasksFrom(forecast, need, tasks, triedMs);
        if (placed === undefined) {
            return undefined;
        }
        if (placed.places.every(({ atMs }) => atMs <= triedMs)) {
            return placed;
        }
    }
    return undefined;
}
