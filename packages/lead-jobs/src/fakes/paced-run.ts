import type { RunOutcome } from "@chestnutspool/types";

/** What a run reports of its load, which decides how tasks on a worker disturb each other. */
export type RunLoad =
    /** A best-effort task with the processors that it uses at full pace, in thousandths of a core. */
    | { readonly kind: "bestEffort"; readonly milliCpu: number; }
    /** A serving task with its tail latency in milliseconds beside tasks that use so many thousandths of a core. */
    | { readonly kind: "serving"; readonly readTailMs: (bestEffortMilliCpu: number, nowMs: number) => number; };

/** How long a run takes at full pace, in milliseconds, how it ends and what it reports. */
export interface RunBehaviour {
    readonly runMs: number;
    readonly outcome: RunOutcome;
    readonly load?: RunLoad;
}

/** Work of a run that its worker carries out at a pace that changes. */
export interface PacedWork {
    /** Time that the whole work takes at full pace, in milliseconds; infinite for a run that lasts. */
    readonly runMs: number;
    /** Time that the work left at `pacedAtMs` takes at full pace, in milliseconds. */
    readonly leftMs: number;
    readonly pacedAtMs: number;
    readonly percent: number;
}

const fullPercent = 100;

/** Creates work that begins at full pace; `nowMs` is monotonic, in milliseconds. */
export function createPacedWork(runMs: number, nowMs: number): PacedWork {
    return { runMs, leftMs: runMs, pacedAtMs: nowMs, percent: fullPercent };
}

function computeLeftMs({ leftMs, pacedAtMs, percent }: PacedWork, nowMs: number): number {
    return Math.max(0, leftMs - (nowMs - pacedAtMs) * percent / fullPercent);
}

/** Changes the pace of work at `nowMs`. */
export function setPace(work: PacedWork, percent: number, nowMs: number): PacedWork {
    return { ...work, leftMs: computeLeftMs(work, nowMs), pacedAtMs: nowMs, percent };
}

/** Computes when work ends if its pace does not change, in monotonic milliseconds; infinite at pace 0. */
function computeEndMs({ leftMs, pacedAtMs, percent }: PacedWork): number {
    return percent === 0 ? Number.POSITIVE_INFINITY : pacedAtMs + leftMs * fullPercent / percent;
}

/** Computes the progress that a worker reports, in percent; a run that lasts has started up at once. */
export function computeProgress(work: PacedWork, nowMs: number): number {
    return Number.isFinite(work.runMs)
        ? Math.floor(fullPercent * (work.runMs - computeLeftMs(work, nowMs)) / work.runMs)
        : fullPercent;
}

/** A run with its work, how it ends and what it reports. */
export interface PacedRun {
    work: PacedWork;
    readonly outcome: RunOutcome;
    readonly load: RunLoad | undefined;
}

/** Lists the runs that end up to `untilMs`, the first ones first; times are monotonic, in milliseconds. */
export function listDueEnds(runs: ReadonlyMap<string, PacedRun>, untilMs: number) {
    return [...runs]
        .map(([key, { work, outcome }]) => ({ key, outcome, endsAtMs: computeEndMs(work) }))
        .filter(({ endsAtMs }) => endsAtMs <= untilMs)
        .sort((left, right) => left.endsAtMs - right.endsAtMs);
}

function computeUsedMilliCpu({ load, work }: PacedRun): number {
    return load?.kind === "bestEffort" ? load.milliCpu * work.percent / fullPercent : 0;
}

/** Computes the reading of a run beside the runs on its worker; undefined if it reports none. */
export function computeReading(run: PacedRun, runs: Iterable<PacedRun>, nowMs: number): number | undefined {
    switch (run.load?.kind) {
        case undefined:
            return undefined;
        case "bestEffort":
            return computeUsedMilliCpu(run);
        case "serving":
            return run.load.readTailMs([...runs].reduce((sum, other) => sum + computeUsedMilliCpu(other), 0), nowMs);
    }
}
