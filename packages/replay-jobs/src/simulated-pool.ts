import type { QueueSettings, WorkerInfo } from "@chestnutspool/types";
import type { JobKind, Load } from "./load.js";
import type { UnevenWorkers } from "./uneven-workers.js";

/** Service of all workers of a replay. */
export const service = "pool";

/** Creates the queue of a kind of job. */
export function createQueue(kind: JobKind): QueueSettings {
    const { name, priority, maxAttempts, slackFactor, targetLatencyMs } = kind;
    return {
        name,
        hostName: "host",
        path: `/${name}/`,
        service,
        priority,
        maxAttempts,
        slackFactor,
        targetLatencyMs,
        timeoutMs: 3_000,
        advice: undefined,
    };
}

/** Creates the worker with a number. */
export function createWorkerInfo(load: Load, uneven: UnevenWorkers, number: number): WorkerInfo {
    const rack = Math.floor(number / load.workersPerRack);
    const size = load.sizeFactors[number % load.sizeFactors.length] ?? 1;
    return {
        id: `w${String(number).padStart(4, "0")}`,
        address: "127.0.0.1:1",
        service,
        availabilityZone: uneven.findZone(rack),
        capacity: { milliCpu: load.milliCpu * size, memoryMib: load.memoryMib * size, accelerators: 0 },
        labels: ["a", `r${rack}`],
    };
}
