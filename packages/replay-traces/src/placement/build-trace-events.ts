import type { JobSpec, Resources, ServiceSpec, WatchSpec } from "@chestnutspool/types";
import { uniformInt } from "pure-rand/distribution/uniformInt";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";
import type { SlowdownTable, TaskTruth, TraceEvent } from "./trace.js";

/** One minute in milliseconds. */
export const minuteMs = 60_000;

/** Capacity of each worker of both users: 32 cores and 125 GiB. */
const workerCapacity: Resources = { milliCpu: 32_000, memoryMib: 128_000, accelerators: 0 };

/** Random values of one trace. */
export interface Random {
    /** An integer from `least` to `most`, both included. */
    readonly drawInt: (least: number, most: number) => number;
    /** A factor from 1/limit to limit, uniform on a logarithmic scale. */
    readonly drawFactor: (limit: number) => number;
}

/** Creates the random values of a seed. */
export function createRandom(seed: number): Random {
    const generator = xoroshiro128plus(seed);
    const drawInt = (least: number, most: number): number => uniformInt(generator, least, most);
    return { drawInt, drawFactor: limit => limit ** (drawInt(-1000, 1000) / 1000) };
}

/**
 * Slowdown in percent that one task of the second class adds to one of the first. Forecasts slow down plume checks
 * most, and price lists slow down stock checks most, so that the best tasks to share a worker with differ by service.
 */
export const slowdown: SlowdownTable = {
    "plume-check": { "forecast": 30, "price-list": 5, "watch": 3, "plume-check": 2, "stock-check": 2 },
    "stock-check": { "forecast": 6, "price-list": 20, "watch": 3, "plume-check": 2, "stock-check": 2 },
    "forecast": { "forecast": 3, "price-list": 1, "plume-check": 2, "stock-check": 2 },
    "price-list": { "forecast": 1, "price-list": 2, "plume-check": 2, "stock-check": 2 },
    "watch": { "forecast": 5, "price-list": 5 },
};

/** The integers from 0 to `count` - 1. */
export function listOrdinals(count: number): number[] {
    return [...Array(count).keys()];
}

/** Racks of six workers, alternately in one of two availability zones, as at Moreno Hermanos. */
export function buildWorkers(racks: number, atMs = 0): Extract<TraceEvent, { kind: "worker"; }>[] {
    const workersPerRack = 6;
    return listOrdinals(racks * workersPerRack).map(ordinal => {
        const rack = Math.floor(ordinal / workersPerRack);
        return {
            kind: "worker" as const,
            atMs,
            worker: `worker-${String(ordinal).padStart(2, "0")}`,
            availabilityZone: `cuyo-${"ab"[rack % 2]}`,
            rack: `rack-${rack}`,
            capacity: workerCapacity,
        };
    });
}

/** A tenant with a quota in cores, with 4,000 MiB of memory for each core. */
export function buildQuota(tenant: string, cores: number): TraceEvent {
    return {
        kind: "tenant",
        atMs: 0,
        tenant,
        quota: { milliCpu: cores * 1000, memoryMib: cores * 4000, accelerators: 0 },
    };
}

function buildSize(cores: number): Resources {
    return { milliCpu: cores * 1000, memoryMib: cores * 4000, accelerators: 0 };
}

/** Parameters of a generated work. */
export interface WorkParameters {
    readonly name: string;
    readonly tenant: string;
    readonly interferenceClass: string;
    readonly cores: number;
    readonly atMs: number;
    readonly tasks: number;
    /** True size divided by the declared one. */
    readonly sizeFactor?: number;
    /** True run time divided by the declared one. */
    readonly runFactor?: number;
    readonly fails?: boolean;
}

function buildTruth(parameters: WorkParameters, runMs: number | undefined): TaskTruth {
    const factor = parameters.sizeFactor ?? 1;
    return {
        runMs,
        milliCpu: Math.round(parameters.cores * 1000 * factor),
        memoryMib: Math.round(parameters.cores * 4000 * factor),
        fails: parameters.fails ?? false,
    };
}

/** A service with latency-critical tasks. */
export function buildService(parameters: WorkParameters): TraceEvent {
    const { name, tenant, interferenceClass, cores, tasks, atMs } = parameters;
    const spec: ServiceSpec = {
        kind: "service",
        name,
        tenant,
        interferenceClass,
        resources: buildSize(cores),
        command: "",
        replicas: tasks,
        maxRunMs: 10_000,
    };
    return { kind: "work", atMs, spec, truth: buildTruth(parameters, undefined) };
}

/** A job; the deadline counts from its submission. */
export function buildJob(
    parameters: WorkParameters,
    expectedRunMs: number,
    deadlineInMs: number | undefined,
): TraceEvent {
    const { name, tenant, interferenceClass, cores, tasks, atMs } = parameters;
    const spec: JobSpec = {
        kind: "job",
        name,
        tenant,
        interferenceClass,
        resources: buildSize(cores),
        command: "",
        tasks,
        deadlineAtMs: deadlineInMs === undefined ? undefined : atMs + deadlineInMs,
        expectedRunMs,
        maxAttempts: 5,
    };
    return {
        kind: "work",
        atMs,
        spec,
        truth: buildTruth(parameters, Math.round(expectedRunMs * (parameters.runFactor ?? 1))),
    };
}

/** A watch with one task. */
export function buildWatch(parameters: WorkParameters): TraceEvent {
    const { name, tenant, interferenceClass, cores, atMs } = parameters;
    const spec: WatchSpec = {
        kind: "watch",
        name,
        tenant,
        interferenceClass,
        resources: buildSize(cores),
        command: "",
        checkpointIntervalMs: minuteMs,
    };
    return { kind: "work", atMs, spec, truth: buildTruth(parameters, undefined) };
}
