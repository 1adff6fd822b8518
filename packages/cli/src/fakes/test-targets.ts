import {
    type MinionApi,
    startStandInMinion,
    startStandInWorker,
    type TaskEvent,
    type WorkerApi,
} from "@chestnutspool/stand-ins";
import { Effect, Exit, Scope } from "effect";

/** Stand-in minions and workers that run within the test's process. */
export interface TestTargets {
    readonly minions: readonly MinionApi[];
    readonly workers: readonly WorkerApi[];
    readonly close: () => Promise<void>;
}

const minionSlots = 8;
const minionConnections = 64;
const workerCapacity = { milliCpu: 8000, memoryMib: 16_384, accelerators: 1 };

/** Starts minions of one service and workers. */
export async function startTestTargets(
    addresses: readonly string[],
    service: string,
    minionCount: number,
    workerCount: number,
): Promise<TestTargets> {
    const scope = await Effect.runPromise(Scope.make());
    const start = Effect.gen(function*() {
        const minions: MinionApi[] = [];
        for (let ordinal = 0; ordinal < minionCount; ordinal += 1) {
            const options = { slots: minionSlots, connections: minionConnections, availabilityZone: "test-a" };
            minions.push(yield* startStandInMinion({ minion: `m${ordinal}`, service, addresses, ...options }));
        }
        const workers: WorkerApi[] = [];
        for (let ordinal = 0; ordinal < workerCount; ordinal += 1) {
            const place = { availabilityZone: "test-a", rack: `rack-${ordinal}` };
            workers.push(
                yield* startStandInWorker({ worker: `w${ordinal}`, addresses, capacity: workerCapacity, ...place }),
            );
        }
        return { minions, workers };
    });
    const started = await Effect.runPromise(Scope.provide(start, scope));
    return { ...started, close: () => Effect.runPromise(Scope.close(scope, Exit.void)) };
}

/** Time span in which a request or task ran; the end is undefined while it still runs. */
interface Span {
    readonly key: string;
    readonly startMs: number;
    readonly endMs: number | undefined;
}

/** Lists the keys with overlapping spans, which ran in two places at once. */
export function listOverlaps(spans: readonly Span[]): readonly string[] {
    const overlapping = new Set<string>();
    const endByKey = new Map<string, number>();
    for (const span of spans.toSorted((left, right) => left.startMs - right.startMs)) {
        const end = endByKey.get(span.key);
        if (end !== undefined && span.startMs < end) {
            overlapping.add(span.key);
        }
        endByKey.set(span.key, Math.max(end ?? 0, span.endMs ?? Number.POSITIVE_INFINITY));
    }
    return [...overlapping];
}

/** Lists the time spans of the runs of all minions, each with the key of its request. */
export function listRequestSpans(minions: readonly MinionApi[]): readonly Span[] {
    return minions.flatMap(minion => minion.listRuns())
        .map(run => ({ key: run.key, startMs: run.startedMs, endMs: run.endedMs }));
}

/** Lists the time spans of the attempts of all tasks, each with the id of its task. */
export function listTaskSpans(workers: readonly WorkerApi[]): readonly Span[] {
    const events: readonly TaskEvent[] = workers.flatMap(worker => worker.listEvents());
    return events.filter(event => event.kind === "started").map(started => ({
        key: started.task,
        startMs: started.atMs,
        endMs: events.find(event =>
            event.kind === "ended" && event.task === started.task && event.token === started.token
        )?.atMs,
    }));
}
