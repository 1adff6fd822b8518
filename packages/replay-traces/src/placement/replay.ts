import { type ClusterMachine, createClusterMachine } from "@chestnutspool/cluster-state";
import type { CommandResult, ControlCommand, WorkerReport } from "@chestnutspool/types";
import { uniformInt } from "pure-rand/distribution/uniformInt";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";
import type { TraceEvent, TraceHead } from "./trace.js";
import type { GroundTruth } from "./truth.js";

/** Start of the traces on the wall clock, in milliseconds since the epoch. */
export const traceStartMs = 1_800_000_000_000;

type WithoutTime<Command> = Command extends unknown ? Omit<Command, "nowMs"> : never;

/** True progress of a running attempt. */
export interface AttemptProgress {
    readonly token: number;
    doneMs: number;
    /** Progress at the last checkpoint. */
    savedMs: number;
    checkpointAtMs: number;
}

/** Reports on their way to the placer. */
export interface LateReports {
    readonly takenAtMs: number;
    readonly reports: readonly WorkerReport[];
}

/** A replay in progress: the real state machine, the truth, and what was measured so far. */
export interface Replay {
    readonly machine: ClusterMachine;
    readonly truth: GroundTruth;
    readonly failingWorkers: Set<string>;
    readonly progress: Map<string, AttemptProgress>;
    readonly late: LateReports[];
    readonly slowdowns: number[];
    readonly urgentWaits: number[];
    /** Tasks of services that wait, with the time since when. */
    readonly waitingSince: Map<string, number>;
    readonly evictionTimes: number[];
    /** Least share of the tasks of any service that ran at one time, from a minute after its start on. */
    leastServiceShare: number;
    wastedStarts: number;
    lostCoreMs: number;
    keptCoreMs: number;
    refused: number;
    /** Applies one command and counts it as refused when the state machine refuses it. */
    readonly applyCommand: (command: WithoutTime<ControlCommand>, nowMs: number) => CommandResult;
    /** A value between -1 and 1 from the seed of the trace. */
    readonly takeNoise: () => number;
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
        late: [],
        slowdowns: [],
        urgentWaits: [],
        waitingSince: new Map(),
        evictionTimes: [],
        leastServiceShare: 1,
        wastedStarts: 0,
        lostCoreMs: 0,
        keptCoreMs: 0,
        refused: 0,
        applyCommand: (command, nowMs) => {
            index += 1;
            const result = machine.applyCommand(index, { ...command, nowMs });
            replay.refused += result.kind === "refused" ? 1 : 0;
            return result;
        },
        takeNoise: () => uniformInt(random, -1000, 1000) / 1000,
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
            // Deadlines in traces count from the start of the trace.
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
