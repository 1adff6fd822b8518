import { createJobMachine, type JobMachine, type JobState } from "@chestnutspool/job-state";
import {
    createInterferenceModel,
    createUsageHistory,
    type InterferenceModel,
    type UsageHistory,
} from "@chestnutspool/learn-interference";
import type { CopyOutcome } from "@chestnutspool/plan-copies";
import { createPlanMemory, type PlacementWaits, type PlanMemory } from "@chestnutspool/plan-jobs";
import { createPreemptionMemory, type PreemptionMemory } from "@chestnutspool/plan-preemption";
import type { RunStatuses } from "@chestnutspool/track-workers";
import type { RunOutcome } from "@chestnutspool/types";
import type { SimulatedJob } from "./generate-jobs.js";
import type { Load } from "./load.js";
import { createRandom, type Random } from "./random.js";
import { createSimulatedAdmission, type SimulatedAdmission } from "./simulated-admission.js";
import { createSimulatedCopies, type SimulatedCopies } from "./simulated-copies.js";
import { createSimulatedLeader, type LeaderProcessor, type SimulatedLeader } from "./simulated-leader.js";
import { createQueue, createWorkerInfo, service } from "./simulated-pool.js";
import { createSimulatedWaits } from "./simulated-racks.js";
import { createSimulatedSpeeds, type SimulatedSpeeds } from "./simulated-speeds.js";
import { drawDisturbances, type SimulatedRun } from "./simulated-workers.js";
import { createTally, type Tally } from "./tally.js";
import { createUnevenWorkers, type UnevenWorkers } from "./uneven-workers.js";

/** Interval at which a worker reports while none of its runs ends, in milliseconds. */
export const reportIntervalMs = 900;
/** Length of one simulation step, in milliseconds. */
export const stepMs = 20;
/** Start of the simulated wall clock, in milliseconds; above 0, so that no timestamp is 0. */
export const epochMs = 1_000_000;

/** Part of the planner that a replay calls. */
export type PlannerPart = "planStarts" | "planCopies" | "listStalledRuns" | "planPaces" | "planPreemptions";

/** Runs one call of a part of the planner, so that a tool can measure it. */
export type PlannerCallRunner = <Result>(part: PlannerPart, call: () => Result) => Result;

/** Parts of a replay that may differ. */
export interface ReplayOptions {
    /** Whether jobs that would end too late are refused and their callers come back; by default all are accepted. */
    readonly hasAdmission?: boolean;
    /** Whether runs are preempted; by default they are, as under a leader. */
    readonly hasPreemption?: boolean;
    /** Whether tasks wait for the rack that they prefer if that pays off; by default they do not. */
    readonly hasWaits?: boolean;
    /** Runs the calls of the planner; by default it only makes them. */
    readonly runCall?: PlannerCallRunner;
    /** Whether slow tasks of steps that allow it get copies; by default they do. */
    readonly hasCopies?: boolean;
    /** Is told what came of each copy; by default nothing is done. */
    readonly observeCopy?: (outcome: CopyOutcome) => void;
    /** Whether the speeds of workers are learnt and used; by default they are not. */
    readonly learnsSpeeds?: boolean;
    /** Processor of the leader; by default its work takes no time. */
    readonly leader?: LeaderProcessor | undefined;
    /** Is shown the state after each step of the replay, at a time in milliseconds since its start; by default nothing is done. */
    readonly observeState?: (state: JobState, nowMs: number) => void;
}

/** A run that has ended on its worker. */
export interface EndedRun {
    readonly run: SimulatedRun;
    readonly outcome: RunOutcome;
}

/** State of a replay. */
export interface Simulation {
    readonly load: Load;
    readonly runCall: PlannerCallRunner;
    readonly machine: JobMachine;
    readonly interference: InterferenceModel;
    readonly seed: number;
    readonly random: Random;
    readonly runsByWorker: Map<string, Map<string, SimulatedRun>>;
    readonly runStatusesByWorker: Map<string, RunStatuses>;
    readonly reportedAtMs: Map<string, number>;
    readonly usageByWorker: Map<string, UsageHistory>;
    readonly jobs: Map<string, SimulatedJob>;
    readonly findDisturbance: (image: string, other: string) => number;
    readonly planMemory: PlanMemory;
    /** Undefined if no copies are planned. */
    readonly copies: SimulatedCopies | undefined;
    readonly uneven: UnevenWorkers;
    /** Learnt speeds of the workers; undefined if none are learnt. */
    readonly speeds: SimulatedSpeeds | undefined;
    readonly placementWaits: PlacementWaits | undefined;
    readonly tally: Tally;
    /** Decides about new jobs; undefined if all are accepted. */
    readonly admission: SimulatedAdmission | undefined;
    /** Memory of the planner of preemptions; undefined if nothing is preempted. */
    readonly preemption: PreemptionMemory | undefined;
    /** Undefined if the work of the leader takes no time. */
    readonly leader: SimulatedLeader | undefined;
    /** Runs that have ended on each worker and that no report has listed yet. */
    readonly endedRuns: Map<string, EndedRun[]>;
    /** Workers whose report is on its way to the leader, or that it renews after a pause, by the time of the next renewal. */
    readonly renewableAtMs: Map<string, number>;
    /** Starts that the leader can still order at this moment. */
    startAllowance: number;
    commandIndex: number;
}

/** Creates a replay of a load at its begin. */
export function createSimulation(
    load: Load,
    seed: number,
    options: Required<Omit<ReplayOptions, "leader">> & Pick<ReplayOptions, "leader">,
): Simulation {
    const { hasAdmission, hasPreemption, hasWaits, runCall, hasCopies, observeCopy, learnsSpeeds } = options;
    const random = createRandom(seed);
    const machine = createJobMachine();
    const simulation: Simulation = {
        load,
        runCall,
        machine,
        interference: createInterferenceModel(),
        random,
        runsByWorker: new Map(),
        runStatusesByWorker: new Map(),
        reportedAtMs: new Map(),
        usageByWorker: new Map(),
        jobs: new Map(),
        findDisturbance: drawDisturbances(load, random),
        planMemory: createPlanMemory(),
        copies: hasCopies ? createSimulatedCopies(machine.state, epochMs, observeCopy) : undefined,
        seed,
        uneven: createUnevenWorkers(load.unevenness, load.workersPerRack, seed),
        speeds: learnsSpeeds ? createSimulatedSpeeds() : undefined,
        placementWaits: createSimulatedWaits(load, hasWaits),
        tally: createTally(load),
        admission: hasAdmission ? createSimulatedAdmission(load) : undefined,
        preemption: hasPreemption ? createPreemptionMemory() : undefined,
        leader: options.leader === undefined ? undefined : createSimulatedLeader(options.leader),
        endedRuns: new Map(),
        renewableAtMs: new Map(),
        startAllowance: 0,
        commandIndex: 0,
    };
    simulation.commandIndex += 1;
    machine.applyCommand(simulation.commandIndex, {
        kind: "setConfiguration",
        nowMs: epochMs,
        configuration: {
            version: 1,
            queues: load.kinds.map(createQueue),
            pools: [{ name: service, healthPath: "/health", guardsCapacity: false, isStandby: false }],
            bodyLimitBytes: 1,
            document: new Uint8Array(0),
        },
    });
    for (let number = 0; number < load.workers; number += 1) {
        const worker = createWorkerInfo(load, simulation.uneven, number);
        simulation.commandIndex += 1;
        machine.applyCommand(simulation.commandIndex, { kind: "registerWorker", nowMs: epochMs, worker });
        simulation.runsByWorker.set(worker.id, new Map());
        simulation.runStatusesByWorker.set(worker.id, new Map());
        simulation.usageByWorker.set(worker.id, createUsageHistory());
        simulation.reportedAtMs.set(worker.id, simulation.random.drawShare() * reportIntervalMs);
    }
    return simulation;
}
