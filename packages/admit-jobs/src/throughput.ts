import { type BacklogEntry, sumWork } from "./backlog.js";

/** Length of one count, in milliseconds. */
const countIntervalMs = 500;
/** Time over which work is counted, in milliseconds. */
const windowMs = 5_000;
/** Ends below which the work that is running tells more than the ends do. */
const fewEnds = 20;
/** Share of a resource in use from which a pool counts as full; gangs, racks and labels keep the rest from being used. */
const fullShare = 0.5;
const millisecondsPerSecond = 1_000;

interface Count {
    readonly startedAtMs: number;
    startedTasks: number;
    startedCoreMs: number;
    endedTasks: number;
    endedCoreMs: number;
}

/** Work that a pool has recently started and ended. Work is in core-milliseconds of declared run time. */
export interface Throughput {
    readonly counts: Count[];
    /** Work that was accepted in the window. */
    accepted: { readonly entry: BacklogEntry; readonly atMs: number; }[];
    /** Since when tasks have waited without interruption while the pool was full; undefined while it is not so. */
    saturatedSinceMs: number | undefined;
    /** Cores in use by running tasks that end by themselves. */
    coresInUse: number;
}

/** Rates at which a pool takes work. */
export interface PoolRates {
    readonly tasksPerSecond: number;
    /** Core-milliseconds of declared run time in one millisecond. */
    readonly cores: number;
}

/** Creates the record of a pool without work. */
export function createThroughput(): Throughput {
    return { counts: [], accepted: [], saturatedSinceMs: undefined, coresInUse: 0 };
}

function getCount(throughput: Throughput, nowMs: number): Count {
    const { counts } = throughput;
    while (counts[0] !== undefined && nowMs - counts[0].startedAtMs > windowMs) {
        counts.shift();
    }
    const last = counts.at(-1);
    if (last !== undefined && nowMs - last.startedAtMs < countIntervalMs) {
        return last;
    }
    const count: Count = { startedAtMs: nowMs, startedTasks: 0, startedCoreMs: 0, endedTasks: 0, endedCoreMs: 0 };
    counts.push(count);
    return count;
}

/** Records the start of a task. */
export function recordStarted(throughput: Throughput, coreMs: number, nowMs: number): void {
    const count = getCount(throughput, nowMs);
    count.startedTasks += 1;
    count.startedCoreMs += coreMs;
}

/** Records work that was accepted. */
export function recordAccepted(throughput: Throughput, entry: BacklogEntry, nowMs: number): void {
    throughput.accepted.push({ entry, atMs: nowMs });
    const oldest = throughput.accepted[0];
    if (oldest !== undefined && nowMs - oldest.atMs > 2 * windowMs) {
        throughput.accepted = throughput.accepted.filter(({ atMs }) => nowMs - atMs <= windowMs);
    }
}

/** Computes the rates at which work that `isIncluded` selects was accepted in the window. */
export function readAcceptedRates(
    throughput: Throughput,
    isIncluded: (entry: BacklogEntry) => boolean,
    nowMs: number,
): PoolRates {
    const recent = throughput.accepted.filter(({ atMs }) => nowMs - atMs <= windowMs).map(({ entry }) => entry);
    const { tasks, coreMs } = sumWork(recent, isIncluded);
    return { tasksPerSecond: tasks * millisecondsPerSecond / windowMs, cores: coreMs / windowMs };
}

/** Records the successful end of a task. */
export function recordEnded(throughput: Throughput, coreMs: number, nowMs: number): void {
    const count = getCount(throughput, nowMs);
    count.endedTasks += 1;
    count.endedCoreMs += coreMs;
}

/**
 * Records whether tasks wait in a pool, which share of its scarcest resource is in use, and whether its leader is too busy
 * to start more. Tasks that wait in a pool with room wait for another reason, such as a label, and tell nothing about it.
 */
export function recordPoolState(
    throughput: Throughput,
    waitingTasks: number,
    usedShare: number,
    isLeaderBusy: boolean,
    coresInUse: number,
    nowMs: number,
): void {
    const isFull = waitingTasks > 0 && (usedShare >= fullShare || isLeaderBusy);
    throughput.saturatedSinceMs = isFull ? throughput.saturatedSinceMs ?? nowMs : undefined;
    throughput.coresInUse = coresInUse;
}

/** Whether a pool has been full, with tasks waiting, for `forMs` without interruption. */
export function hasBeenFull({ saturatedSinceMs }: Throughput, forMs: number, nowMs: number): boolean {
    return saturatedSinceMs !== undefined && nowMs - saturatedSinceMs >= forMs;
}

/** Whether a pool has taken all the work it can for the whole window, so that its rates show its limit. */
export function isSaturated(throughput: Throughput, nowMs: number): boolean {
    return hasBeenFull(throughput, windowMs, nowMs);
}

/** Computes the rates of the window. The higher one of starts and ends counts, so that work is not refused too early. */
export function readRates(throughput: Throughput, nowMs: number): PoolRates {
    const counts = throughput.counts.filter(count => nowMs - count.startedAtMs <= windowMs);
    const sum = (select: (count: Count) => number): number => counts.reduce((total, count) => total + select(count), 0);
    const endedTasks = sum(count => count.endedTasks);
    const cores = Math.max(sum(count => count.startedCoreMs), sum(count => count.endedCoreMs)) / windowMs;
    return {
        tasksPerSecond: Math.max(sum(count => count.startedTasks), endedTasks) * millisecondsPerSecond / windowMs,
        cores: endedTasks < fewEnds ? Math.max(cores, throughput.coresInUse) : cores,
    };
}

/**
 * Computes the rates since a pool has been full, in declared work, so that run times declared wrongly by the same factor cancel out;
 * undefined if it is not full.
 */
export function readRatesWhileFull(throughput: Throughput, nowMs: number): PoolRates | undefined {
    const { saturatedSinceMs } = throughput;
    if (saturatedSinceMs === undefined || nowMs <= saturatedSinceMs) {
        return undefined;
    }
    const fromMs = Math.max(saturatedSinceMs, nowMs - windowMs);
    // A count that began before is read as a whole: the rate is then a little higher, which refuses less.
    const counts = throughput.counts.filter(count => count.startedAtMs + countIntervalMs > fromMs);
    const sum = (select: (count: Count) => number): number => counts.reduce((total, count) => total + select(count), 0);
    const tasks = Math.max(sum(count => count.startedTasks), sum(count => count.endedTasks));
    const coreMs = Math.max(sum(count => count.startedCoreMs), sum(count => count.endedCoreMs));
    return { tasksPerSecond: tasks * millisecondsPerSecond / (nowMs - fromMs), cores: coreMs / (nowMs - fromMs) };
}
