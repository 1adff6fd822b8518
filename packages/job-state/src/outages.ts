import { takeBackRuns } from "./counted-runs.js";
import { findRack } from "./find-rack.js";
import type { CountedRun, JobState, RecentCrash } from "./job-state.js";
import { formatStepKey, formatTaskKey } from "./run-keys.js";

/**
 * Time within which crashes count as one outage, in milliseconds. The leader notices a crash when the next renewal has no answer, up
 * to a second later.
 */
const outageMs = 1_000;
/** Workers of a zone or rack that crash in an outage, at least, as a number and as a share of its workers. */
const leastOutageWorkers = 3;
const leastOutageShare = 2 / 3;
/**
 * Probability, by the crashes of the last minute, below which so many do not happen in one moment by chance. Where many tasks crash their
 * workers, several do so at once now and then.
 */
const chanceLimit = 1e-6;
/** Time in which the crashes of the last minute are counted, in milliseconds. */
const minuteMs = 60_000;
/** Crashes of a zone or rack per minute for other reasons, at least. */
const leastCrashesPerMinute = 0.3;
/** Crashes of an outage that a task cannot have caused from which it is not blamed; one may be due to another such task. */
const leastOtherCrashes = 2;
/** Time between the starts of copies of a task from which they do not crash their workers in the same moment, in milliseconds. */
const sameStartMs = 1_000;
/**
 * Crashes of an outage without a suspected run from which a task is not blamed even if it has been suspected in another outage of the
 * last minute. Otherwise tasks that start in the same moment and crash their workers would never be found.
 */
const leastUnsuspected = 2;
/** Probability in percent from which a task on a worker, by its earlier crashes, explains the next one. */
const expectedLimitPercent = 50;

function isSameTime(left: RecentCrash, right: RecentCrash): boolean {
    return left.crashedAtMs !== undefined && right.crashedAtMs !== undefined
        && Math.abs(left.crashedAtMs - right.crashedAtMs) <= outageMs;
}

/** What the workers of an outage have in common. */
type Domain = "zone" | "rack";

/** Whether a worker or a crash was in the zone or rack of a crash. */
function isInDomain(
    domain: Domain,
    crash: RecentCrash,
    place: Pick<RecentCrash, "availabilityZone" | "rack">,
): boolean {
    const isInZone = place.availabilityZone === crash.availabilityZone;
    switch (domain) {
        case "zone":
            return isInZone;
        case "rack":
            return isInZone && crash.rack !== "" && place.rack === crash.rack;
    }
}

/** Probability of at least `count` independent events where `expected` are expected. */
function computeTail(count: number, expected: number): number {
    let probability = Math.exp(-expected);
    for (let factor = 1; factor <= count; factor += 1) {
        probability *= expected / factor;
    }
    let sum = 0;
    for (let next = count; probability > sum * Number.EPSILON; next += 1) {
        sum += probability;
        probability *= expected / (next + 1);
    }
    return sum;
}

/** Whether several crashes in one moment are due to chance, by the other crashes of the last minute; an outage counts as one. */
function isChance(crashes: readonly RecentCrash[], together: readonly RecentCrash[]): boolean {
    const perMinute = crashes.filter(crash => !together.includes(crash))
        .reduce((sum, { outageWorkers = 1 }) => sum + 1 / outageWorkers, leastCrashesPerMinute);
    return computeTail(together.length, perMinute * 2 * outageMs / minuteMs) >= chanceLimit;
}

/** Lists the crashes of the outage of a zone or rack to which the last one belongs; empty if too few of its workers have crashed. */
function listOutage(state: JobState, last: RecentCrash, domain: Domain): readonly RecentCrash[] {
    const inDomain = state.recentCrashes.filter(crash => isInDomain(domain, last, crash));
    const crashes = inDomain.filter(crash => isSameTime(crash, last));
    const crashed = new Set(crashes.map(({ worker }) => worker));
    // A crashed worker may be back under another id.
    const bornBeforeMs = Math.min(...crashes.map(({ crashedAtMs = 0 }) => crashedAtMs)) - outageMs;
    const others = [...state.workers.values()].filter(({ info }) =>
        isInDomain(domain, last, { availabilityZone: info.availabilityZone, rack: findRack(info) })
        && !crashed.has(info.id) && (info.bornAtMs ?? 0) <= bornBeforeMs
    );
    const share = crashed.size / (crashed.size + others.length);
    const isOutage = crashed.size >= leastOutageWorkers && share >= leastOutageShare && !isChance(inDomain, crashes);
    return isOutage ? crashes : [];
}

/** A run on a worker that crashed in an outage. */
interface OutageRun {
    readonly crash: RecentCrash;
    readonly run: CountedRun;
}

/** Groups the runs of an outage by their steps, each with its crash. */
function groupRuns(
    outage: readonly RecentCrash[],
): Map<string, OutageRun[]> {
    const byStep = new Map<string, OutageRun[]>();
    for (const crash of outage) {
        for (const run of crash.runs ?? []) {
            const stepKey = formatStepKey(run.key);
            const ofStep = byStep.get(stepKey) ?? [];
            byStep.set(stepKey, ofStep);
            ofStep.push({ crash, run });
        }
    }
    return byStep;
}

/** Whether a task has not been blamed in another outage of the last minute, though it was suspected. */
function hasBeenSpared(state: JobState, last: RecentCrash, task: string): boolean {
    return state.recentCrashes.some(crash => !isSameTime(crash, last) && crash.sparedTasks?.includes(task));
}

/**
 * Creates a function that counts the crashes of workers on which no copy of a step started with a run that began at a given time. Most
 * runs of a wide step begin at the same few times, so that the counts are kept.
 */
function createOtherCrashCounter(
    ofStep: readonly OutageRun[],
    crashes: readonly RecentCrash[],
): (startedAtMs: number) => number {
    const counts = new Map<number, number>();
    return startedAtMs => {
        const known = counts.get(startedAtMs);
        if (known !== undefined) {
            return known;
        }
        const own = new Set(
            ofStep.filter(({ run }) => Math.abs(run.startedAtMs - startedAtMs) <= sameStartMs)
                .map(({ crash }) => crash),
        );
        const count = crashes.filter(crash => !own.has(crash)).length;
        counts.set(startedAtMs, count);
        return count;
    };
}

/**
 * Lists the runs of an outage that are not blamed for it, by crash: tasks cannot have caused the crashes of workers on which no copy of
 * theirs started with them.
 */
function listSpared(
    state: JobState,
    outage: readonly RecentCrash[],
    last: RecentCrash,
): Map<RecentCrash, CountedRun[]> {
    const spared = new Map<RecentCrash, CountedRun[]>();
    const unexplained = outage.filter(({ expectedPercent = 0 }) => expectedPercent < expectedLimitPercent);
    const isUnsuspected = outage.filter(({ hasSuspects }) => hasSuspects === false).length >= leastUnsuspected;
    for (const ofStep of groupRuns(outage).values()) {
        const countOtherCrashes = createOtherCrashCounter(ofStep, unexplained);
        const countedRuns = ofStep.filter(({ run }) => run.crashes + run.historyCrashes > 0);
        for (const { crash, run } of countedRuns) {
            if (
                countOtherCrashes(run.startedAtMs) >= leastOtherCrashes
                && (run.suspicions === 0 || isUnsuspected || !hasBeenSpared(state, last, formatTaskKey(run.key)))
            ) {
                const ofCrash = spared.get(crash) ?? [];
                spared.set(crash, ofCrash);
                ofCrash.push(run);
            }
        }
    }
    return spared;
}

function addToOutage(
    state: JobState,
    crash: RecentCrash,
    workers: number,
    spared: readonly CountedRun[],
): RecentCrash {
    const suspected = spared.filter(({ suspicions }) => suspicions > 0).map(({ key }) => formatTaskKey(key));
    return {
        ...takeBackRuns(state, crash, spared),
        outageWorkers: Math.max(crash.outageWorkers ?? 0, workers),
        sparedTasks: [...crash.sparedTasks ?? [], ...suspected],
    };
}

/**
 * Takes back the counts for crashes that hit most workers of a zone or rack in one moment: they have a cause of their own, while tasks
 * that crash their workers hit those on which they run. The first crashes of an outage were counted before the others were known.
 */
export function subtractOutage(state: JobState): void {
    const last = state.recentCrashes.at(-1);
    if (last === undefined) {
        return;
    }
    for (const domain of ["zone", "rack"] as const) {
        const outage = listOutage(state, last, domain);
        if (outage.length === 0) {
            continue;
        }
        const spared = listSpared(state, outage, last);
        state.recentCrashes = state.recentCrashes.map(crash =>
            outage.includes(crash)
                ? addToOutage(state, crash, outage.length, spared.get(crash) ?? [])
                : crash
        );
    }
}
