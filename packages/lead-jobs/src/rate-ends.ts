import { formatRunKey, formatStepKey, formatTaskKey, type WorkerRun } from "@chestnutspool/job-state";
import { countAllowedStarts, recordRunQuality, type RunQuality, type RunView } from "@chestnutspool/track-workers";
import type { RunEnd, WorkerId } from "@chestnutspool/types";
import type { Term, WorkerSession } from "./term.js";

/**
 * Multiple of the mean run time of a step above which a run with reserved processors counts as slow. Tasks of a step differ by a
 * third, while declared run times may be off by any factor.
 */
const slowFactor = 2.5;
/** Runs of a step whose mean is compared with. */
const runsToCompare = 3;
/** Time that an order and a report add to a run, in milliseconds. */
const reportingMs = 200;
/** Steps whose run times are remembered. */
const rememberedSteps = 2_000;
/** Failed tasks whose worker is remembered; a task waits for its next run for seconds at most while there is room. */
const rememberedFailures = 10_000;
/** Share of the workers that may be under suspicion; beyond it the cause is not one worker, and all are used. */
const suspectedShare = 0.34;

/** Keeps the latest entries of a map, in the order in which they were set. */
function setLatest<Value>(map: Map<string, Value>, key: string, value: Value, limit: number): void {
    map.delete(key);
    map.set(key, value);
    const [oldest] = map.keys();
    if (map.size > limit && oldest !== undefined) {
        map.delete(oldest);
    }
}

/** Records how long a successful run took; true when that was far longer than other runs of its step. */
function observeRunTime(term: Term, end: RunEnd, tookMs: number): boolean {
    const key = formatStepKey(end);
    const known = term.runTimes.get(key) ?? { runs: 0, totalMs: 0 };
    setLatest(term.runTimes, key, { runs: known.runs + 1, totalMs: known.totalMs + tookMs }, rememberedSteps);
    return known.runs >= runsToCompare && tookMs > slowFactor * known.totalMs / known.runs + reportingMs;
}

function rateRun(
    term: Term,
    { step }: WorkerRun,
    view: RunView,
    end: RunEnd,
    nowMs: number,
): RunQuality | undefined {
    switch (end.outcome) {
        case "failed":
            return { kind: "failed" };
        case "succeeded": {
            // The time of a task on idle processors or far from its data says more of its place than of the worker.
            const isComparable = !step.spec.usesIdleCpu && step.spec.rackOfData === undefined;
            return isComparable && observeRunTime(term, end, nowMs - view.orderedAtMs)
                ? { kind: "slow" }
                : { kind: "good" };
        }
        case "stopped":
        case "lapsed":
        case "gangBroken":
        case "gangIncomplete":
        case "neverStarted":
            return undefined;
    }
}

function recordQuality(term: Term, session: WorkerSession, job: string, quality: RunQuality, nowMs: number): void {
    if (recordRunQuality(session.health, job, quality, nowMs)) {
        const { badRunsInRow: strikes, suspicions, suspectedUntilMs } = session.health;
        term.logger.info(suspectedUntilMs === undefined ? "worker is trusted again" : "worker is suspected", {
            worker: session.info.id,
            last: quality.kind,
            job,
            strikes,
            suspicions,
            pauseMs: suspectedUntilMs === undefined ? undefined : Math.round(suspectedUntilMs - nowMs),
        });
    }
}

/** Judges a worker by the end of a run; called before the end is recorded. */
export function rateRunEnd(term: Term, session: WorkerSession, end: RunEnd, nowMs: number): void {
    const key = formatRunKey(end);
    const run = term.machine.state.workers.get(session.info.id)?.runs.get(key);
    const view = session.views.get(key);
    const quality = run === undefined || view === undefined ? undefined : rateRun(term, run, view, end, nowMs);
    if (end.outcome === "failed") {
        setLatest(term.failedOn, formatTaskKey(end), session.info.id, rememberedFailures);
    }
    if (quality !== undefined) {
        recordQuality(term, session, end.job, quality, nowMs);
    }
}

/** Judges a worker on which a run stands still. */
export function recordStalledRun(term: Term, session: WorkerSession, job: string, nowMs: number): void {
    recordQuality(term, session, job, { kind: "stoodStill" }, nowMs);
}

/** The runs that each worker under suspicion may start at `nowMs`, monotonic time in milliseconds. */
export function listStartLimits(term: Term, nowMs: number): ReadonlyMap<WorkerId, number> {
    const limits = new Map<WorkerId, number>();
    for (const { info, health, views } of term.sessions.values()) {
        const limit = countAllowedStarts(health, views.size, nowMs);
        if (limit !== undefined) {
            limits.set(info.id, limit);
        }
    }
    return limits.size > term.sessions.size * suspectedShare ? new Map() : limits;
}
