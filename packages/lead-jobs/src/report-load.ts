import { recordDelay } from "@chestnutspool/admit-jobs";
import { countDelayedSchedules } from "@chestnutspool/job-state";
import { listWaitingSteps, type Urgency } from "@chestnutspool/plan-jobs";
import { readMonotonicMs } from "@chestnutspool/types";
import { Effect } from "effect";
import { observeWaitingWork } from "./admission.js";
import { observeBusyTime } from "./ration-term.js";
import { readTermMs } from "./steady-clock.js";
import { createTermLoad, type HandoverStage } from "./term-load.js";
import { canSendOrders, type Term } from "./term.js";

/** Interval of the lines about the load of the leader, in milliseconds. */
const reportIntervalMs = 1_000;
/** Interval at which the delay of timers is measured, in milliseconds. */
const sampleIntervalMs = 50;
const microsecondsPerMillisecond = 1_000;

function readProcessorMs(): number {
    const { user, system } = process.cpuUsage();
    return (user + system) / microsecondsPerMillisecond;
}

/** What the process has used since the last line, in milliseconds. */
interface ProcessorUse {
    readonly processorMs: number;
    /** Time for which the event loop was busy; undefined if it is not known. */
    readonly busyMs: number | undefined;
}

function logLoad(term: Term, intervalMs: number, { processorMs, busyMs }: ProcessorUse, wallMs: number): void {
    const { load } = term;
    const waiting = listWaitingSteps(term.machine.state, wallMs);
    const mean = (total: number, count: number): number => count === 0 ? 0 : Math.round(total / count);
    const meanOfStage = (urgency: Urgency, stage: HandoverStage): number => {
        const { count, totalMs } = load.stages[urgency][stage];
        return mean(totalMs, count);
    };
    term.metrics.recordDuration("loopDelayMs", "", "leader", load.longestDelayMs);
    term.metrics.recordDuration("passMs", "", "leader", load.longestPassMs);
    term.metrics.recordDuration("commitMs", "", "leader", load.longestCommitMs);
    // A warning, because a busy leader writes more lines of level info than the log takes.
    term.logger.warn("leader load", {
        term: term.number,
        intervalMs: Math.round(intervalMs),
        processorMs: Math.round(processorMs),
        busyPercent: busyMs === undefined ? undefined : Math.round(100 * busyMs / intervalMs),
        longestDelayMs: Math.round(load.longestDelayMs),
        delayMs: Math.round(term.admission.busyness.delayMs),
        waitingCommits: term.admission.busyness.waitingCommits,
        passes: load.passes,
        meanPassMs: mean(load.passMs, load.passes),
        longestPassMs: Math.round(load.longestPassMs),
        urgentPasses: load.urgentPasses,
        meanUrgentPassMs: mean(load.urgentPassMs, load.urgentPasses),
        stopsMs: Math.round(load.partMs.stops),
        startsMs: Math.round(load.partMs.starts),
        preemptionsMs: Math.round(load.partMs.preemptions),
        copiesMs: Math.round(load.partMs.copies),
        reportsMs: Math.round(load.partMs.reports),
        pacesMs: Math.round(load.partMs.paces),
        commits: load.commits,
        meanCommitMs: mean(load.commitMs, load.commits),
        longestCommitMs: Math.round(load.longestCommitMs),
        starts: load.starts,
        urgentStarts: load.startsByUrgency.urgent,
        urgentReportCommitMs: meanOfStage("urgent", "reportCommit"),
        urgentStartCommitMs: meanOfStage("urgent", "startCommit"),
        urgentStartOrderMs: meanOfStage("urgent", "startOrder"),
        deferrableReportCommitMs: meanOfStage("deferrable", "reportCommit"),
        deferrableStartCommitMs: meanOfStage("deferrable", "startCommit"),
        deferrableStartOrderMs: meanOfStage("deferrable", "startOrder"),
        rationedStartsPerSecond: term.ration.limits === undefined
            ? undefined
            : Math.round(term.ration.limits.startsPerSecond),
        heldRaises: load.heldRaises,
        refusedStarts: load.refusedStarts,
        unconfirmedStarts: load.unconfirmedStarts,
        renewals: load.renewals,
        failedRenewals: load.failedRenewals,
        paces: load.paces,
        jobsWithoutRun: load.jobsWithoutRun,
        longestWithoutRunMs: Math.round(load.longestWithoutRunMs),
        starvedStarts: load.starvedStarts,
        stalledStops: load.stalledStops,
        onlyRunsStopped: load.onlyRunsStopped,
        openJobs: term.machine.state.openJobs.size,
        heldBytes: term.machine.state.heldBytes,
        delayedSchedules: countDelayedSchedules(term.machine.state, wallMs),
        waitingSteps: waiting.length,
        waitingTasks: waiting.reduce((sum, { step }) => sum + step.waiting.size, 0),
        workers: term.sessions.size,
        answeringWorkers: [...term.sessions.values()].filter(session => session.isResponsive).length,
    });
    Object.assign(load, createTermLoad());
}

/** Logs what the leader has done in each interval until the term ends, so that an overload shows and where it is. */
export const runLoadReport = Effect.fnUntraced(function*(term: Term) {
    let reportedAtMs = yield* readMonotonicMs;
    let processorMs = readProcessorMs();
    let busyMs = term.readBusyMs?.();
    let lastBusyMs = busyMs;
    while (canSendOrders(term, yield* readMonotonicMs)) {
        const sleptAtMs = yield* readMonotonicMs;
        yield* Effect.sleep(sampleIntervalMs);
        const nowMs = yield* readMonotonicMs;
        const delayMs = nowMs - sleptAtMs - sampleIntervalMs;
        term.load.longestDelayMs = Math.max(term.load.longestDelayMs, delayMs);
        recordDelay(term.admission.busyness, delayMs);
        const sampledBusyMs = term.readBusyMs?.();
        if (sampledBusyMs !== undefined && lastBusyMs !== undefined) {
            observeBusyTime(term, sampledBusyMs - lastBusyMs, nowMs);
        }
        lastBusyMs = sampledBusyMs;
        observeWaitingWork(term, nowMs, yield* readTermMs(term));
        if (nowMs - reportedAtMs >= reportIntervalMs) {
            const usedMs = readProcessorMs();
            const busyUntilNowMs = term.readBusyMs?.();
            const use = {
                processorMs: usedMs - processorMs,
                busyMs: busyMs === undefined || busyUntilNowMs === undefined ? undefined : busyUntilNowMs - busyMs,
            };
            logLoad(term, nowMs - reportedAtMs, use, yield* readTermMs(term));
            reportedAtMs = nowMs;
            busyMs = busyUntilNowMs;
            processorMs = usedMs;
        }
    }
});
