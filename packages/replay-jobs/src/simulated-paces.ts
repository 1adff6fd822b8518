import { planPaces, recordUsage } from "@chestnutspool/plan-jobs";
import { isRationed } from "@chestnutspool/ration-leader-time";
import type { RunStatus } from "@chestnutspool/track-workers";
import type { SimulatedRun } from "./simulated-workers.js";
import type { Simulation } from "./simulation.js";

/** A raised pace that waits for the plans of all workers. */
interface PendingRaise {
    readonly status: RunStatus;
    readonly run: SimulatedRun;
    readonly percent: number;
}

function setPace(
    { leader, tally }: Simulation,
    status: RunStatus,
    run: SimulatedRun,
    percent: number,
    nowMs: number,
): void {
    status.pacePercent = percent;
    status.paceChangedAtMs = nowMs;
    tally.countPaceChange();
    const perform = (): void => {
        run.percent = percent;
    };
    if (leader === undefined) {
        perform();
    }
    else {
        leader.addWork(leader.processor.prices.paceMs, perform);
    }
}

/** Plans and orders the paces of the best-effort runs on all workers. */
export function planWorkerPaces(simulation: Simulation, nowMs: number): void {
    const { leader } = simulation;
    const raises: PendingRaise[] = [];
    for (const [worker, runs] of simulation.runsByWorker) {
        const state = simulation.machine.state.workers.get(worker);
        const statuses = simulation.runStatusesByWorker.get(worker);
        const history = simulation.usageByWorker.get(worker);
        if (state === undefined || statuses === undefined || history === undefined) {
            continue;
        }
        recordUsage(state, statuses, history, nowMs);
        const detail = leader !== undefined && isRationed(leader.ration) ? "coarse" : "fine";
        for (const change of planPaces(state, statuses, simulation.interference, detail)) {
            const status = statuses.get(change.runKey);
            const run = runs.get(change.runKey);
            if (status === undefined || run === undefined) {
                continue;
            }
            if (change.percent > status.pacePercent) {
                raises.push({ status, run, percent: change.percent });
            }
            else {
                setPace(simulation, status, run, change.percent, nowMs);
            }
        }
    }
    const slowestFirst = raises.sort((left, right) => left.status.pacePercent - right.status.pacePercent);
    for (const { status, run, percent } of leader?.takeRaises(slowestFirst, nowMs) ?? raises) {
        setPace(simulation, status, run, percent, nowMs);
    }
}
