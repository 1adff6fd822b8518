import { createRunKey, formatRunKey } from "@chestnutspool/job-state";
import {
    findUrgency,
    listObsoleteRuns,
    listStalledRuns,
    listWaitingSteps,
    type PlanInput,
    planStarts,
    planUrgentStarts,
} from "@chestnutspool/plan-jobs";
import { takeEndedWaits } from "@chestnutspool/plan-placement-waits";
import { listReservations, planPreemptions, type PreemptionInput } from "@chestnutspool/plan-preemption";
import { createRunStatus } from "@chestnutspool/track-workers";
import type { RunStart } from "@chestnutspool/types";
import type { SimulatedLeader } from "./simulated-leader.js";
import { sendOrder, startRun, stopRun } from "./simulated-runs.js";
import { epochMs, type Simulation, stepMs } from "./simulation.js";

const millisecondsPerSecond = 1_000;

function preemptRuns(simulation: Simulation, input: PreemptionInput, nowMs: number): void {
    const { preemption, runCall, tally } = simulation;
    if (preemption === undefined) {
        return;
    }
    const { preemptions } = runCall("planPreemptions", () => planPreemptions(input, preemption, nowMs));
    for (const { worker, victims } of preemptions) {
        victims.forEach(({ runKey }) => stopRun(simulation, worker, runKey, nowMs));
        tally.countPreemptions(victims.length);
    }
}

/** Whether a job gives way to urgent ones. */
export function isDeferrable({ machine }: Simulation, id: string): boolean {
    const job = machine.state.jobs.get(id);
    return job !== undefined && findUrgency(machine.state.configuration, job.queue) === "deferrable";
}

/** Lets a leader whose work takes time make a pass if one is due. */
export function requestPass(simulation: Simulation, leader: SimulatedLeader, nowMs: number): void {
    if (!leader.isPassDue(nowMs)) {
        return;
    }
    const { state } = simulation.machine;
    const { passMs, passWorkerMs, scanRunMs, passStepMs } = leader.processor.prices;
    if (leader.isPassUrgent(nowMs)) {
        const steps = listWaitingSteps(
            state,
            epochMs + nowMs,
            ({ queue }) => findUrgency(state.configuration, queue) === "urgent",
        ).length;
        const priceMs = steps === 0 ? passMs : passMs + passWorkerMs * state.workers.size + passStepMs * steps;
        leader.addPass("urgent", priceMs, startedAtMs => performUrgentPass(simulation, startedAtMs));
        return;
    }
    const runs = [...state.workers.values()].reduce((sum, worker) => sum + worker.runs.size, 0);
    const steps = listWaitingSteps(state, epochMs + nowMs).length;
    const priceMs = passMs + passWorkerMs * state.workers.size + passStepMs * steps + scanRunMs * runs;
    leader.addPass("all", priceMs, startedAtMs => performSchedulingPass(simulation, startedAtMs));
}

function createPlanInput(simulation: Simulation, nowMs: number): PlanInput {
    const { speeds } = simulation;
    const { state } = simulation.machine;
    const { stopMs } = simulation.load.stops ?? { stopMs: 0 };
    const reservations = simulation.preemption === undefined
        ? []
        : listReservations(simulation.preemption, state, stopMs, nowMs);
    return {
        state,
        reservations,
        isUsable: () => true,
        findStartLimit: () => undefined,
        findFailedWorker: () => undefined,
        interference: simulation.interference,
        findRunStatuses: (worker: string) => simulation.runStatusesByWorker.get(worker),
        predictSpeed: speeds === undefined
            ? undefined
            : (worker: string) => speeds.predictSpeed(worker, nowMs),
        placementWaits: simulation.placementWaits,
        startRation: simulation.leader?.readStartRation(nowMs),
    };
}

/** Commits planned starts and orders them. */
function carryOutStarts(simulation: Simulation, starts: readonly RunStart[], nowMs: number): void {
    const { state } = simulation.machine;
    if (starts.length === 0) {
        return;
    }
    const deferrable = starts.filter(({ job }) => isDeferrable(simulation, job)).length;
    simulation.leader?.recordStarts({ deferrable, urgent: starts.length - deferrable });
    simulation.commandIndex += 1;
    simulation.machine.applyCommand(simulation.commandIndex, { kind: "startRuns", nowMs: epochMs + nowMs, starts });
    for (const start of starts) {
        const recorded = state.workers.get(start.worker)?.runs.get(formatRunKey(start));
        if (recorded === undefined) {
            continue;
        }
        simulation.runStatusesByWorker.get(start.worker)?.set(
            formatRunKey(start),
            createRunStatus(createRunKey(recorded), "confirmed", nowMs),
        );
        sendOrder(simulation, nowMs, arrivesAtMs => startRun(simulation, start, arrivesAtMs));
    }
    simulation.copies?.followStarts(starts, nowMs);
}

/** Plans and starts urgent tasks alone. */
function performUrgentPass(simulation: Simulation, nowMs: number): void {
    const input = createPlanInput(simulation, nowMs);
    carryOutStarts(simulation, planUrgentStarts(input, epochMs + nowMs, simulation.planMemory), nowMs);
}

/** Makes a pass of the planner over all tasks. */
export function performSchedulingPass(simulation: Simulation, nowMs: number): void {
    // Before the other runs of their tasks are stopped.
    simulation.copies?.takeOutcomes(nowMs);
    const { state } = simulation.machine;
    for (const worker of state.workers.values()) {
        listObsoleteRuns(worker).forEach(key => stopRun(simulation, worker.info.id, key, nowMs));
    }
    const input = createPlanInput(simulation, nowMs);
    const { moves } = simulation.planMemory;
    const stalled = simulation.runCall("listStalledRuns", () => listStalledRuns(input, nowMs, moves));
    for (const { worker, runKey } of stalled) {
        stopRun(simulation, worker, runKey, nowMs);
    }
    const { startsPerSecond } = simulation.load;
    simulation.startAllowance = startsPerSecond === undefined
        ? Number.POSITIVE_INFINITY
        : Math.min(1, simulation.startAllowance) + startsPerSecond * stepMs / millisecondsPerSecond;
    const planned = simulation.runCall(
        "planStarts",
        () => planStarts(input, epochMs + nowMs, simulation.planMemory),
    );
    const copies = simulation.runCall("planCopies", () => simulation.copies?.planCopies(input, planned, nowMs) ?? []);
    planned.push(...copies);
    if (simulation.placementWaits !== undefined) {
        simulation.tally.recordWaits(takeEndedWaits(simulation.placementWaits.memory));
    }
    const starts = planned.slice(0, Math.floor(simulation.startAllowance));
    simulation.startAllowance -= starts.length;
    const { stopMs } = simulation.load.stops ?? { stopMs: 0 };
    preemptRuns(simulation, { ...input, starts, wallMs: epochMs + nowMs, stopMs }, nowMs);
    simulation.admission?.observe(simulation.machine.state, starts.length < planned.length, epochMs, nowMs);
    simulation.leader?.recordPass(simulation.planMemory.stepsLeftOut, nowMs);
    carryOutStarts(simulation, starts, nowMs);
}
