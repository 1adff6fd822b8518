import {
    type Backlog,
    createBacklogEntry,
    createLeaderBusyness,
    createThroughput,
    decideAdmission,
    listBacklog,
    recordAccepted,
    recordEnded,
    recordPoolState,
    recordStarted,
} from "@chestnutspool/admit-jobs";
import { createJob, type JobState } from "@chestnutspool/job-state";
import type { QueueSettings, StepSpec } from "@chestnutspool/types";
import type { SimulatedJob } from "./generate-jobs.js";
import type { Load } from "./load.js";

/** Interval at which the waiting work is listed, in milliseconds. */
const observeIntervalMs = 500;
const milliCpuPerCore = 1_000;

/** Admission of a replay. Times are in milliseconds since its start, `epochMs` is its start as wall-clock time. */
export interface SimulatedAdmission {
    readonly recordStart: (spec: StepSpec, nowMs: number) => void;
    readonly recordEnd: (spec: StepSpec, nowMs: number) => void;
    readonly observe: (state: JobState, isLeaderBusy: boolean, epochMs: number, nowMs: number) => void;
    /** Returns after how many milliseconds the caller of a refused job may come back; undefined if it is accepted. */
    readonly refuse: (job: SimulatedJob, queue: QueueSettings, epochMs: number, nowMs: number) => number | undefined;
}

function computeCoreMs(spec: StepSpec): number {
    return spec.expectedRunMs * spec.resources.milliCpu / milliCpuPerCore;
}

/** Creates the admission of a leader whose event loop is never late. */
export function createSimulatedAdmission(load: Load): SimulatedAdmission {
    const throughput = createThroughput();
    const priorities = load.kinds.map(({ priority }) => priority);
    const isShared = new Set(priorities).size > 1;
    let backlog: Backlog = [];
    let workers = 0;
    let observedAtMs = Number.NEGATIVE_INFINITY;
    return {
        recordStart: (spec, nowMs) => {
            if (!spec.longRunning) {
                recordStarted(throughput, computeCoreMs(spec), nowMs);
            }
        },
        recordEnd: (spec, nowMs) => {
            recordEnded(throughput, computeCoreMs(spec), nowMs);
        },
        observe: (state, isLeaderBusy, epochMs, nowMs) => {
            if (nowMs - observedAtMs < observeIntervalMs) {
                return;
            }
            observedAtMs = nowMs;
            workers = state.workers.size;
            backlog = listBacklog(state, epochMs + nowMs);
            let capacity = 0;
            let used = 0;
            let coresInUse = 0;
            for (const { info, runs } of state.workers.values()) {
                capacity += info.capacity.milliCpu;
                for (const { step: { spec } } of runs.values()) {
                    used += spec.resources.milliCpu;
                    coresInUse += spec.longRunning ? 0 : spec.resources.milliCpu / milliCpuPerCore;
                }
            }
            const waitingTasks = backlog.reduce((sum, { tasks }) => sum + tasks, 0);
            recordPoolState(throughput, waitingTasks, used / capacity, isLeaderBusy, coresInUse, nowMs);
        },
        refuse: ({ definition }, queue, epochMs, nowMs) => {
            const inputs = {
                backlog,
                throughput,
                busyness: createLeaderBusyness(),
                priorities,
                workers,
                isShared,
            };
            const decision = decideAdmission(definition, queue, inputs, nowMs, epochMs + nowMs);
            if (decision.cause !== undefined) {
                return decision.retryAfterMs;
            }
            const job = createJob(definition, queue, epochMs + nowMs);
            for (const occurrence of job.occurrences.values()) {
                const entry = createBacklogEntry(job, occurrence, epochMs + nowMs);
                backlog.push(entry);
                recordAccepted(throughput, entry, nowMs);
            }
            return undefined;
        },
    };
}
