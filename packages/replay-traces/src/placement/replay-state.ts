import { type ClusterMachine, createClusterMachine } from "@chestnutspool/cluster-state";
import type { CommandResult, ControlCommand, WorkerReport } from "@chestnutspool/types";
import { uniformInt } from "pure-rand/distribution/uniformInt";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";
import type { GroundTruth } from "./ground-truth.js";
import type { TraceEvent, TraceHead } from "./trace.js";

/** Start of the traces on the wall clock, in milliseconds since the epoch. */
export const traceStartMs = 1_800_000_000_000;

type WithoutTime<Command> = Command extends unknown ? Omit<Command, "nowMs"> : never;

/** True progress of a running attempt. */
export interface AttemptProgress {
    readonly token: number;
    doneMs: number;
    /** Progress at the last checkpoint, in milliseconds of run time. */
    checkpointedMs: number;
    checkpointAtMs: number;
}

/** Usage reports that the placer has not received yet. */
export interface DelayedReports {
    readonly takenAtMs: number;
    readonly reports: readonly WorkerReport[];
}

/** State of a replay: the real state machine, the true behaviour of the tasks, and the measurements so far. */
export interface Replay {
    readonly machine: ClusterMachine;
    readonly truth: GroundTruth;
    readonly failingWorkers: Set<string>;
    readonly progress: Map<string, AttemptProgress>;
    readonly pendingReports: DelayedReports[];
    readonly slowdowns: number[];
    readonly urgentWaits: number[];
    /** Service tasks that wait for placement, with the time in milliseconds at which their wait began. */
    readonly waitingSince: Map<string, number>;
    readonly evictionTimes: number[];
    /** Smallest share of a service's tasks that ran at one time, from one minute after the service was created. */
    leastServiceShare: number;
    wastedStarts: number;
    lostCoreMs: number;
    completedCoreMs: number;
    refused: number;
    /** Applies one command and counts it in `refused` when the state machine refuses it. */
    readonly applyCommand: (command: WithoutTime<ControlCommand>, nowMs: number) => CommandResult;
    /** Draws a random value from -1 to 1; the trace holds the seed. */
    readonly drawNoise: () => number;
}

/** Creates the replay of a trace, with an empty cluster. */
export function createReplay(head: TraceHead): Replay {
    const machine = createClusterMachine();
    const random = xoroshiro128plus(head.seed);
    let index = 0;
    const replay: Replay = {
        machine,
        truth: { slowdown: head.slowdown, truthByWork: new Map(), loadByClass: new Map() },
        failingWorkers: new Set(),
        progress: new Map(),
        pendingReports: [],
        slowdowns: [],
        urgentWaits: [],
        waitingSince: new Map(),
        evictionTimes: [],
        leastServiceShare: 1,
        wastedStarts: 0,
        lostCoreMs: 0,
        completedCoreMs: 0,
        refused: 0,
        applyCommand: (command, nowMs) => {
            index += 1;
            const result = machine.applyCommand(index, { ...command, nowMs });
            replay.refused += result.kind === "refused" ? 1 : 0;
            return result;
        },
        drawNoise: () => uniformInt(random, -1000, 1000) / 1000,
    };
    return replay;
}

/** Applies one event of the trace. */
export function applyTraceEvent(replay: Replay, event: TraceEvent, nowMs: number): void {
    const operatorRequestId = `${event.kind}-${event.atMs}-${replay.machine.state.index}`;
    switch (event.kind) {
        case "worker":
            replay.applyCommand({
                kind: "registerWorker",
                worker: event.worker,
                incarnation: `${event.worker}-${event.atMs}`,
                availabilityZone: event.availabilityZone,
                rack: event.rack,
                capacity: event.capacity,
            }, nowMs);
            break;
        case "workerLost": {
            const incarnation = replay.machine.state.workers.get(event.worker)?.incarnation ?? "";
            replay.applyCommand({ kind: "expireWorker", worker: event.worker, incarnation }, nowMs);
            break;
        }
        case "workerFails":
            replay.failingWorkers[event.fails ? "add" : "delete"](event.worker);
            break;
        case "tenant": {
            const { tenant, quota } = event;
            const change = { kind: "applyTenant" as const, tenant, quota, weight: 1, expectedRevision: 0 };
            replay.applyCommand({ kind: "operatorChange", operatorRequestId, change }, nowMs);
            break;
        }
        case "work": {
            const { spec } = event;
            // Deadlines in traces are relative to the start of the trace.
            const shifted = spec.kind === "job" && spec.deadlineAtMs !== undefined
                ? { ...spec, deadlineAtMs: spec.deadlineAtMs + traceStartMs }
                : spec;
            const change = { kind: "applyWork" as const, spec: shifted, expectedRevision: 0 };
            replay.truth.truthByWork.set(spec.name, event.truth);
            replay.applyCommand({ kind: "operatorChange", operatorRequestId, change }, nowMs);
            break;
        }
        case "cancel": {
            const change = { kind: "cancelWorks" as const, names: event.names };
            replay.applyCommand({ kind: "operatorChange", operatorRequestId, change }, nowMs);
            break;
        }
        case "load":
            replay.truth.loadByClass.set(event.interferenceClass, event.percent);
            break;
    }
}
