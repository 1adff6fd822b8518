import { createSpeedModel, type ObservedRun, observeEnd, observeProgress, type SpeedModel } from "../speed-model.js";

/** How a worker of the simulated pool behaves at a time, in milliseconds. */
export interface SimulatedBehaviour {
    readonly speed: number;
    readonly failureShare: number;
}

/** Settings of a simulated pool. */
export interface SimulatedPoolSettings {
    readonly workers: number;
    readonly behave: (worker: number, nowMs: number) => SimulatedBehaviour;
    /** True work of the tasks of a step, in milliseconds at normal speed; 1,000 by default. */
    readonly computeWorkMs?: (step: number) => number;
    /** Share of the tasks that take seven times as long as their siblings; 0.03 by default. */
    readonly stragglerShare?: number;
}

/** Task of a simulated worker. */
interface SimulatedTask {
    readonly run: ObservedRun;
    readonly workMs: number;
    readonly willFail: boolean;
    doneMs: number;
}

const stepMs = 10;
const reportIntervalMs = 300;
const tasksPerWorker = 4;
const tasksPerStep = 10;
const zoneCount = 3;
const workersPerRack = 8;
const usualStragglerShare = 0.03;
const stragglerFactor = 7;

/** Creates a sequence of shares from 0 to 1 that is the same for each seed. */
function createShares(seed: number): () => number {
    let state = seed >>> 0;
    return () => {
        state = (Math.imul(state, 1_664_525) + 1_013_904_223) >>> 0;
        return state / 2 ** 32;
    };
}

/** Place of a worker by its number: racks of eight, three zones. */
export function createPlace(worker: number) {
    const rack = Math.floor(worker / workersPerRack);
    return { worker: `w${worker}`, rack: `r${rack}`, availabilityZone: `z${rack % zoneCount}` };
}

/**
 * Keeps all workers of a pool busy and feeds a model with what their reports would tell: progress every 300 ms or when a run
 * ends. `observe` is called after each step of 10 ms.
 */
export function playPool(
    { workers, behave, computeWorkMs = () => 1_000, stragglerShare = usualStragglerShare }: SimulatedPoolSettings,
    lengthMs: number,
    seed: number,
    observe: (model: SpeedModel, nowMs: number) => void,
): SpeedModel {
    const model = createSpeedModel();
    const drawShare = createShares(seed);
    const tasks = Array.from({ length: workers }, (): SimulatedTask[] => []);
    const reportedAtMs = tasks.map(() => -Math.floor(drawShare() * reportIntervalMs));
    let drawn = 0;
    const draw = (worker: number, nowMs: number): SimulatedTask => {
        const step = Math.floor(drawn / tasksPerStep);
        const isStraggler = drawShare() < stragglerShare;
        const spread = 0.7 + 0.6 * drawShare();
        drawn += 1;
        return {
            run: {
                ...createPlace(worker),
                run: `${drawn}`,
                step: `${step}`,
                queue: "q",
                confidence: 1,
                startedAtMs: nowMs,
            },
            workMs: computeWorkMs(step) * spread * (isStraggler ? stragglerFactor : 1),
            willFail: drawShare() < behave(worker, nowMs).failureShare,
            doneMs: 0,
        };
    };
    const report = (worker: number, ofWorker: SimulatedTask[], nowMs: number): void => {
        reportedAtMs[worker] = nowMs;
        for (const task of [...ofWorker]) {
            if (task.doneMs >= task.workMs * (task.willFail ? 0.5 : 1)) {
                observeEnd(model, task.run, task.willFail ? "failed" : "succeeded", nowMs);
                ofWorker.splice(ofWorker.indexOf(task), 1);
            }
            else {
                observeProgress(model, task.run, Math.floor(100 * task.doneMs / task.workMs), nowMs);
            }
        }
    };
    for (let nowMs = 0; nowMs < lengthMs; nowMs += stepMs) {
        // Free places are filled in turns, so that the tasks of a step are spread over workers.
        for (let place = 0; place < tasksPerWorker; place += 1) {
            tasks.forEach((ofWorker, worker) => {
                if (ofWorker.length <= place) {
                    ofWorker.push(draw(worker, nowMs));
                }
            });
        }
        tasks.forEach((ofWorker, worker) => {
            const { speed } = behave(worker, nowMs);
            let hasEnd = false;
            for (const task of ofWorker) {
                task.doneMs += stepMs * speed;
                hasEnd ||= task.doneMs >= task.workMs * (task.willFail ? 0.5 : 1);
            }
            if (hasEnd || nowMs - (reportedAtMs[worker] ?? 0) >= reportIntervalMs) {
                report(worker, ofWorker, nowMs);
            }
        });
        observe(model, nowMs);
    }
    return model;
}
