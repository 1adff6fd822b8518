import { createCredit, type Credit } from "./credit.js";

/** Share of the time for which the event loop is busy from which deferrable work is rationed. */
const rationedUtilization = 0.98;
/** Share of the time for which the event loop may be busy while it is, so that it soon gets to urgent work. */
const wantedUtilization = 0.97;
/** Time over which the utilization is smoothed, in milliseconds; one pass of the planner or one burst of reports counts little. */
const smoothingMs = 400;
/** The same for the utilization that tells whether work is queued now, in milliseconds. */
const latestSmoothingMs = 80;
/** Utilization in so short a time from which fewer deferrable tasks start, because urgent work is queued behind other work. */
const queuedUtilization = 0.985;
/** Time over which the rate of starts is smoothed, in milliseconds. */
const rateSmoothingMs = 1_000;
/** Longest time that one sample counts for, in milliseconds, because a host that was frozen tells nothing about the load. */
const longestSampleMs = 200;
/**
 * Relative decrease of the rate in a second while the event loop is never idle, and relative increase for each unit of utilization below
 * what is wanted. A start has its full price only when its run has ended, so that faster changes overshoot.
 */
const lowerGain = 1;
const raiseGain = 10;
/** Least rate of deferrable starts, in starts a second, and for each urgent one, so that no queue is left without service. */
const leastStartsPerSecond = 10;
const leastStartsPerUrgentStart = 1;
/** Time without a task that waits for the ration after which it is lifted, in milliseconds. */
const unusedMs = 1_000;
const millisecondsPerSecond = 1_000;

/** Limits of deferrable work. */
export interface RationLimits {
    startsPerSecond: number;
    readonly starts: Credit;
    readonly raises: Credit;
    /** When a task last waited for the ration, in monotonic milliseconds. */
    shortAtMs: number;
}

/** Numbers of starts, of deferrable and of urgent tasks. */
export interface Starts {
    readonly deferrable: number;
    readonly urgent: number;
}

const noStarts: Starts = { deferrable: 0, urgent: 0 };

/**
 * How much of the processor time of a leader goes to deferrable work, that of queues below the highest priority of their pool. The rest is
 * for urgent work, which is not limited. It is soft state of a term.
 */
export interface LeaderRation {
    /** Smoothed share of the time for which the event loop was busy, from 0 to 1. */
    utilization: number;
    /** The same over a shorter time. */
    latestUtilization: number;
    /** Smoothed rate of the deferrable starts, in starts a second. */
    startsPerSecond: number;
    /** The same of the urgent ones. */
    urgentStartsPerSecond: number;
    /** Starts since the last sample. */
    startsInSample: Starts;
    /** When the last sample was taken, in monotonic milliseconds; undefined before the first one. */
    sampledAtMs: number | undefined;
    /** Undefined while there is time for all work. */
    limits: RationLimits | undefined;
}

/** Creates the ration of a leader without work. */
export function createLeaderRation(): LeaderRation {
    return {
        utilization: 0,
        latestUtilization: 0,
        startsPerSecond: 0,
        urgentStartsPerSecond: 0,
        startsInSample: noStarts,
        sampledAtMs: undefined,
        limits: undefined,
    };
}

/** Whether deferrable work is limited. */
export function isRationed({ limits }: LeaderRation): boolean {
    return limits !== undefined;
}

/**
 * Reads the rate at which deferrable tasks start while they are rationed, in starts a second; undefined while they are not. The rate that
 * was reached counts if it is higher than the present limit, which follows each burst.
 */
export function readRationedRate({ limits, startsPerSecond }: LeaderRation): number | undefined {
    return limits === undefined ? undefined : Math.max(limits.startsPerSecond, startsPerSecond);
}

/** Whether work waits for the event loop, so that each further start would make urgent work wait longer. */
export function hasQueuedWork({ latestUtilization }: LeaderRation): boolean {
    return latestUtilization >= queuedUtilization;
}

/** Records starts. */
export function recordStarts(ration: LeaderRation, { deferrable, urgent }: Starts): void {
    const { startsInSample } = ration;
    ration.startsInSample = {
        deferrable: startsInSample.deferrable + deferrable,
        urgent: startsInSample.urgent + urgent,
    };
    if (ration.limits !== undefined) {
        ration.limits.starts.units -= deferrable;
    }
}

/** Records that a deferrable task waits for the ration at `nowMs`, in monotonic milliseconds. */
export function recordRationShortage({ limits }: LeaderRation, nowMs: number): void {
    if (limits !== undefined) {
        limits.shortAtMs = nowMs;
    }
}

function computeWeight(elapsedMs: number, overMs: number): number {
    return 1 - Math.exp(-elapsedMs / overMs);
}

function computeLeastRate({ urgentStartsPerSecond }: LeaderRation): number {
    return Math.max(leastStartsPerSecond, urgentStartsPerSecond * leastStartsPerUrgentStart);
}

function adaptLimits(ration: LeaderRation, limits: RationLimits, elapsedMs: number, nowMs: number): void {
    const unused = wantedUtilization - ration.utilization;
    // A limit that nothing waits for would rise without bound.
    const isShort = nowMs - limits.shortAtMs < unusedMs;
    const change = unused < 0 ? lowerGain * unused / (1 - wantedUtilization) : isShort ? raiseGain * unused : 0;
    const factor = Math.exp(change * elapsedMs / millisecondsPerSecond);
    limits.startsPerSecond = Math.max(computeLeastRate(ration), limits.startsPerSecond * factor);
}

/**
 * Adapts the ration to a sample: the event loop was busy for `busyMs` until `nowMs` since the last sample, both in milliseconds. The rate
 * of deferrable starts follows the utilization, so that urgent work finds the event loop idle soon enough, whatever the speed of the host.
 */
export function adaptRation(ration: LeaderRation, busyMs: number, nowMs: number): void {
    const { sampledAtMs, startsInSample } = ration;
    ration.sampledAtMs = nowMs;
    ration.startsInSample = noStarts;
    if (sampledAtMs === undefined || nowMs <= sampledAtMs) {
        return;
    }
    const sampleMs = nowMs - sampledAtMs;
    const elapsedMs = Math.min(longestSampleMs, sampleMs);
    const share = Math.min(1, Math.max(0, busyMs / sampleMs));
    ration.utilization += computeWeight(elapsedMs, smoothingMs) * (share - ration.utilization);
    ration.latestUtilization += computeWeight(elapsedMs, latestSmoothingMs) * (share - ration.latestUtilization);
    const rateWeight = computeWeight(elapsedMs, rateSmoothingMs);
    const computeRate = (starts: number): number => starts * millisecondsPerSecond / sampleMs;
    ration.startsPerSecond += rateWeight * (computeRate(startsInSample.deferrable) - ration.startsPerSecond);
    ration.urgentStartsPerSecond += rateWeight * (computeRate(startsInSample.urgent) - ration.urgentStartsPerSecond);
    const { limits, utilization } = ration;
    if (limits !== undefined) {
        adaptLimits(ration, limits, elapsedMs, nowMs);
        const isUnused = utilization < wantedUtilization && nowMs - limits.shortAtMs >= unusedMs;
        ration.limits = isUnused ? undefined : limits;
    }
    else if (utilization >= rationedUtilization) {
        ration.limits = {
            startsPerSecond: Math.max(computeLeastRate(ration), ration.startsPerSecond),
            starts: createCredit(nowMs),
            raises: createCredit(nowMs),
            shortAtMs: nowMs,
        };
    }
}
