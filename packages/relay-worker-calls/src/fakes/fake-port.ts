import type { OrderAnswer, WorkerInfo, WorkerPort, WorkerRef } from "@chestnutspool/types";
import { Effect } from "effect";

/** Availability zone of the processes and workers of the tests. */
export const zone = "z";
/** Run that the orders of the tests name. */
export const run = { job: "j", occurrence: 0, step: 0, position: 0, run: 1 };
/** Start order of that run. */
export const order = {
    ...run,
    payload: "p",
    checkpoint: "",
    leaseUntilMs: 6_000,
    fencingToken: 3,
    ticket: undefined,
};

/** Creates a worker whose address follows from its id. */
export function makeWorker(id: string): WorkerInfo {
    return {
        id,
        address: `${id}:80`,
        service: "pool",
        availabilityZone: zone,
        capacity: { milliCpu: 1, memoryMib: 1, accelerators: 0 },
        labels: [],
    };
}

/** A port to workers that records its calls. */
export interface FakePort {
    readonly port: WorkerPort<WorkerRef>;
    /** Calls that were carried out, as KIND ID ADDRESS. */
    readonly calls: string[];
    readonly limitsMs: number[];
    /** Kinds of the calls that were prepared, whether they were carried out or not. */
    readonly prepared: string[];
}

/** Creates a port whose calls all end with the given answer; a renewal that is done answers with an empty report. */
export function createFakePort(answer: Effect.Effect<OrderAnswer>): FakePort {
    const calls: string[] = [];
    const limitsMs: number[] = [];
    const prepared: string[] = [];
    const perform = (kind: string, { id, address }: WorkerRef, limitMs: number) => {
        prepared.push(kind);
        return Effect.suspend(() => {
            calls.push(`${kind} ${id} ${address}`);
            limitsMs.push(limitMs);
            return answer;
        });
    };
    return {
        calls,
        limitsMs,
        prepared,
        port: {
            startRun: (worker, sent, limitMs) => perform("startRun", worker, limitMs),
            stopRun: (worker, sent, token, limitMs) => perform("stopRun", worker, limitMs),
            paceRun: (worker, sent, percent, token, limitMs) => perform("paceRun", worker, limitMs),
            renewLease: (worker, sent, limitMs) =>
                Effect.map(perform("renewLease", worker, limitMs), answered =>
                    answered.kind === "done"
                        ? { kind: "report", clockMs: answered.clockMs, running: [], ended: [], isComplete: true }
                        : answered),
            closeConnections: ({ id, address }) => {
                calls.push(`closeConnections ${id} ${address}`);
            },
        },
    };
}
