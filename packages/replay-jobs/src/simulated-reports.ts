import type { WorkerState } from "@chestnutspool/job-state";
import type { UsageHistory } from "@chestnutspool/learn-interference";
import {
    findUrgency,
    hasUncertainPairs,
    listWaitingSteps,
    observeMargins,
    recordUsage,
} from "@chestnutspool/plan-jobs";
import { isRationed } from "@chestnutspool/ration-leader-time";
import type { RunStatuses } from "@chestnutspool/track-workers";
import type { SimulatedLeader } from "./simulated-leader.js";
import { endRun } from "./simulated-runs.js";
import { doubtfulSpeed } from "./simulated-speeds.js";
import { formatCheckpoint } from "./simulated-stops.js";
import { type EndedRun, epochMs, reportIntervalMs, type Simulation } from "./simulation.js";

/** Report interval of a worker that runs pairs of images with unknown interference or seems slow, in milliseconds. */
const learningReportIntervalMs = 300;
/** Pause of the leader between two renewals of a worker, and while deferrable work is rationed and no urgent run may end, in milliseconds. */
const renewPauseMs = 30;
const rationedRenewPauseMs = 250;
/** Interval of the reports without an end while deferrable work is rationed, in milliseconds. */
const rationedReportIntervalMs = 1_300;
/** Largest error of a tail latency reading, as a share of the true value. */
const tailReadingErrorShare = 0.15;

function chooseReportIntervalMs(
    { speeds }: Simulation,
    worker: string,
    hasPairsToLearn: boolean,
    nowMs: number,
): number {
    const isDoubtful = speeds !== undefined && speeds.predictSpeed(worker, nowMs) < doubtfulSpeed;
    return hasPairsToLearn || isDoubtful ? learningReportIntervalMs : reportIntervalMs;
}

/** Applies the reports that are due of workers whose leader takes no time for them. */
export function reportWorkers(simulation: Simulation, nowMs: number): void {
    for (const [worker, lastMs] of simulation.reportedAtMs) {
        const state = simulation.machine.state.workers.get(worker);
        const statuses = simulation.runStatusesByWorker.get(worker);
        const history = simulation.usageByWorker.get(worker);
        const hasPairsToLearn = state !== undefined && statuses !== undefined
            && hasUncertainPairs(state, statuses, simulation.interference);
        if (
            nowMs - lastMs < chooseReportIntervalMs(simulation, worker, hasPairsToLearn, nowMs) || state === undefined
            || statuses === undefined
            || history === undefined
        ) {
            continue;
        }
        simulation.reportedAtMs.set(worker, nowMs);
        readReport(simulation, worker, state, statuses, history, nowMs);
    }
}

/** Applies the report of a worker about its runs. */
function readReport(
    simulation: Simulation,
    worker: string,
    state: WorkerState,
    statuses: RunStatuses,
    history: UsageHistory,
    nowMs: number,
): void {
    for (const [key, run] of simulation.runsByWorker.get(worker) ?? []) {
        const status = statuses.get(key);
        if (status !== undefined) {
            const isServing = run.job.kind.execution.kind === "serving";
            const percent = isServing ? 100 : Math.floor(100 * run.doneMs / run.workMs);
            status.progressAtMs = percent === status.progressPercent ? status.progressAtMs : nowMs;
            status.progressPercent = percent;
            status.lastReading = Math.round(
                isServing
                    ? run.tailMs * (1 + tailReadingErrorShare * (2 * simulation.random.drawShare() - 1))
                    : run.milliCpu,
            );
            const checkpoint = formatCheckpoint(run, simulation.load);
            if (checkpoint !== status.checkpoint) {
                status.checkpoint = checkpoint;
                status.checkpointAtMs = (status.readAtMs + nowMs) / 2;
            }
            status.readAtMs = nowMs;
        }
    }
    recordUsage(state, statuses, history, nowMs);
    observeMargins(state, statuses, simulation.interference, history, nowMs);
    simulation.speeds?.observeReport(simulation.machine.state, worker, statuses, nowMs);
}

/** Whether a worker runs an urgent task that ends by itself. */
function hasUrgentRun({ machine }: Simulation, { runs }: WorkerState): boolean {
    return [...runs.values()].some(({ job, step }) =>
        !step.spec.longRunning && findUrgency(machine.state.configuration, job.queue) === "urgent"
    );
}

/** Whether an urgent job of ended runs has a task that may start. */
function hasStartableTask({ machine }: Simulation, ended: readonly EndedRun[], nowMs: number): boolean {
    const jobs = new Set(ended.map(({ run }) => run.run.job));
    const { configuration } = machine.state;
    return listWaitingSteps(
        machine.state,
        epochMs + nowMs,
        job => jobs.has(job) && findUrgency(configuration, job.queue) === "urgent",
    ).length > 0;
}

/** Applies a report that a leader has got to: the ends of runs, then the others. */
function applyReport(simulation: Simulation, leader: SimulatedLeader, worker: string, nowMs: number): void {
    const state = simulation.machine.state.workers.get(worker);
    const statuses = simulation.runStatusesByWorker.get(worker);
    const history = simulation.usageByWorker.get(worker);
    if (state === undefined || statuses === undefined || history === undefined) {
        return;
    }
    const ended = simulation.endedRuns.get(worker) ?? [];
    simulation.endedRuns.delete(worker);
    const isUrgent = hasUrgentRun(simulation, state);
    readReport(simulation, worker, state, statuses, history, nowMs);
    ended.forEach(endedRun => endRun(simulation, worker, endedRun, nowMs));
    const isLimited = isRationed(leader.ration);
    simulation.renewableAtMs.set(worker, nowMs + (isLimited && !isUrgent ? rationedRenewPauseMs : renewPauseMs));
    simulation.reportedAtMs.set(worker, nowMs);
    if (ended.length > 0 && (!isLimited || hasStartableTask(simulation, ended, nowMs))) {
        leader.wake();
    }
}

/** Sends the reports that are due to a leader whose work takes time: those with ends, and the others at their intervals. */
export function sendReports(simulation: Simulation, leader: SimulatedLeader, nowMs: number): void {
    const { renewalMs, endsMs } = leader.processor.prices;
    const intervalMs = isRationed(leader.ration) ? rationedReportIntervalMs : reportIntervalMs;
    for (const [worker, lastMs] of simulation.reportedAtMs) {
        const hasEnds = (simulation.endedRuns.get(worker)?.length ?? 0) > 0;
        const isIdle = nowMs - lastMs >= intervalMs;
        if (nowMs < (simulation.renewableAtMs.get(worker) ?? 0) || !(hasEnds || isIdle)) {
            continue;
        }
        simulation.renewableAtMs.set(worker, Number.POSITIVE_INFINITY);
        const priceMs = renewalMs + (hasEnds ? endsMs : 0);
        leader.addWork(priceMs, handledAtMs => applyReport(simulation, leader, worker, handledAtMs));
    }
}
