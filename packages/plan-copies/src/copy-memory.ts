import {
    findRack,
    formatRunKey,
    type JobRecord,
    type JobStep,
    type JobTask,
    type WorkerRun,
} from "@chestnutspool/job-state";
import type { RunStatus } from "@chestnutspool/track-workers";
import type { RunEnd, RunKey, RunStart, WorkerId, WorkerInfo } from "@chestnutspool/types";
import { computeElapsedMs, type RunTime } from "./estimate-runs.js";

/** Number of latest outcomes of the copies of a pool by which further copies are judged. */
const outcomeLimit = 20;
/** Factor by which a copy that pays takes less time than its first run was expected to need. */
const paidFactor = 1.5;

/** What a copy was decided by. Times are in milliseconds, those of ends counted from the decision. */
export interface CopyEstimate {
    readonly progressPercent: number;
    readonly elapsedMs: number;
    /** Run time of the siblings. */
    readonly typicalMs: number;
    /** Number of siblings that it is from. */
    readonly samples: number;
    readonly firstRunEndsInMs: number;
    readonly copyEndsInMs: number;
}

/** A run of a task with two runs. Times are monotonic, in milliseconds. */
interface CopiedRun {
    readonly run: number;
    readonly worker: WorkerId;
    readonly startedAtMs: number;
    endedAtMs: number | undefined;
}

/** A task with two runs, followed until both have ended. */
export interface TaskCopy {
    readonly job: JobRecord;
    readonly task: JobTask;
    readonly key: Omit<RunKey, "run">;
    readonly milliCpu: number;
    readonly firstRun: CopiedRun;
    readonly copy: CopiedRun;
    /** What the copy was decided by; undefined if an earlier leader decided it. */
    readonly estimate: CopyEstimate | undefined;
}

/** Which run ended first; "both" if both ended since the pass before. */
export type EndedFirst = "firstRun" | "copy" | "both";

/** What came of a copy. */
export interface CopyOutcome {
    readonly taskCopy: TaskCopy;
    readonly endedFirst: EndedFirst;
    /** Whether the task was done when the first of both runs had ended. */
    readonly isDone: boolean;
    /** Processor time that each run reserved, in core-milliseconds. */
    readonly firstRunCoreMs: number;
    readonly copyCoreMs: number;
}

/** Soft state about copies of one leader. Times are monotonic, in milliseconds. */
export interface CopyMemory {
    /** When stragglers were last looked for. */
    checkedAtMs: number;
    /** Run times of the successful runs of each step. */
    readonly runTimesByStep: WeakMap<JobStep, RunTime[]>;
    /** Estimates of the copies that were planned last, by run key. */
    readonly estimates: Map<string, CopyEstimate>;
    /** Tasks with two runs. */
    readonly copies: Map<JobTask, TaskCopy & { isDoneFirst: boolean; }>;
    /** Tasks that have had a copy, so that each gets one at most. */
    readonly copied: WeakSet<JobTask>;
    /** Whether the copy paid, for the latest copies of each pool. */
    readonly payoffsByService: Map<string, boolean[]>;
}

/** Creates the memory of a leader that has planned no copies. */
export function createCopyMemory(): CopyMemory {
    return {
        checkedAtMs: Number.NEGATIVE_INFINITY,
        runTimesByStep: new WeakMap(),
        estimates: new Map(),
        copies: new Map(),
        copied: new WeakSet(),
        payoffsByService: new Map(),
    };
}

/** Whether the tasks of a step may get copies: their run times are comparable, and each runs for itself. */
export function canCopyTasks({ step: { spec } }: Pick<WorkerRun, "step">): boolean {
    // The run time of a best-effort task depends on the processors that others leave idle.
    return spec.speculative && !spec.gang && !spec.longRunning && !spec.usesIdleCpu && spec.count > 1;
}

/**
 * Records the run time of a run that ends; `wallMs` is wall-clock time in milliseconds since the epoch. Must be called before
 * the end is recorded.
 */
export function observeRunEnd(
    memory: CopyMemory,
    info: WorkerInfo,
    run: WorkerRun | undefined,
    status: RunStatus | undefined,
    end: RunEnd,
    nowMs: number,
    wallMs: number,
): void {
    if (run === undefined || status === undefined || end.outcome !== "succeeded" || !canCopyTasks(run)) {
        return;
    }
    const runTimes = memory.runTimesByStep.get(run.step) ?? [];
    runTimes.push({ tookMs: computeElapsedMs(run, status, nowMs, wallMs), rack: findRack(info) });
    memory.runTimesByStep.set(run.step, runTimes);
}

/** Follows a task with two runs until both have ended; those that the memory follows already are left as they are. */
export function followCopy(
    memory: CopyMemory,
    run: Omit<WorkerRun, "run" | "startedAtMs">,
    nowMs: number,
    estimate?: CopyEstimate,
): void {
    const { job, occurrence, step, task } = run;
    const [first, second] = [...task.runs].sort((left, right) => left.run - right.run);
    if (memory.copies.has(task) || first === undefined || second === undefined) {
        return;
    }
    const createRun = ({ run: number, worker }: typeof first, startedAtMs: number): CopiedRun => ({
        run: number,
        worker,
        startedAtMs,
        endedAtMs: undefined,
    });
    // The times between the starts are those in the log, so that a later leader knows them too.
    const headStartMs = first.startedAtMs === 0 ? 0 : Math.max(0, second.startedAtMs - first.startedAtMs);
    memory.copied.add(task);
    memory.copies.set(task, {
        job,
        task,
        key: { job: job.id, occurrence: occurrence.number, step: step.position, position: task.position },
        milliCpu: step.spec.resources.milliCpu,
        firstRun: createRun(first, nowMs - headStartMs),
        copy: createRun(second, nowMs),
        estimate,
        isDoneFirst: false,
    });
}

/** Follows the copies among starts that were recorded; returns them with their estimates. */
export function followStartedCopies(
    memory: CopyMemory,
    findRun: (start: RunStart) => WorkerRun | undefined,
    starts: readonly RunStart[],
    nowMs: number,
): readonly { readonly taskCopy: TaskCopy; readonly estimate: CopyEstimate; }[] {
    return starts.flatMap(start => {
        const estimate = memory.estimates.get(formatRunKey(start));
        const run = estimate === undefined ? undefined : findRun(start);
        if (estimate === undefined || run === undefined) {
            return [];
        }
        followCopy(memory, run, nowMs, estimate);
        const taskCopy = memory.copies.get(run.task);
        // The first run may have ended before the start was recorded, which is then a start like any other.
        return taskCopy === undefined ? [] : [{ taskCopy, estimate }];
    });
}

function computeCoreMs({ milliCpu }: TaskCopy, { startedAtMs, endedAtMs = startedAtMs }: CopiedRun): number {
    return Math.round((endedAtMs - startedAtMs) * milliCpu / 1_000);
}

function decideEndedFirst({ firstRun, copy }: TaskCopy): EndedFirst {
    const firstMs = firstRun.endedAtMs ?? Number.POSITIVE_INFINITY;
    const copyMs = copy.endedAtMs ?? Number.POSITIVE_INFINITY;
    return firstMs === copyMs ? "both" : firstMs < copyMs ? "firstRun" : "copy";
}

/**
 * Whether a copy that completed its task saved clearly more time than it would by chance if the task were slow on any worker,
 * such as by the size of its data.
 */
function hasPaid({ copy, estimate }: TaskCopy, endedFirst: EndedFirst): boolean {
    const tookMs = (copy.endedAtMs ?? copy.startedAtMs) - copy.startedAtMs;
    return endedFirst === "copy" && (estimate === undefined || tookMs * paidFactor <= estimate.firstRunEndsInMs);
}

/** Lists what came of the copies whose runs have both ended by `nowMs`, and follows these no longer. */
export function takeCopyOutcomes(memory: CopyMemory, nowMs: number): CopyOutcome[] {
    const outcomes: CopyOutcome[] = [];
    for (const [task, taskCopy] of memory.copies) {
        const { firstRun, copy } = taskCopy;
        for (const run of [firstRun, copy]) {
            if (run.endedAtMs === undefined && !task.runs.some(placed => placed.run === run.run)) {
                run.endedAtMs = nowMs;
                taskCopy.isDoneFirst ||= task.isDone
                    && (firstRun.endedAtMs === undefined || copy.endedAtMs === undefined);
            }
        }
        if (firstRun.endedAtMs === undefined || copy.endedAtMs === undefined) {
            continue;
        }
        memory.copies.delete(task);
        const endedFirst = decideEndedFirst(taskCopy);
        const isDone = taskCopy.isDoneFirst || (endedFirst === "both" && task.isDone);
        if (isDone) {
            const { service } = taskCopy.job.queue;
            const payoffs = memory.payoffsByService.get(service) ?? [];
            memory.payoffsByService.set(service, [...payoffs, hasPaid(taskCopy, endedFirst)].slice(-outcomeLimit));
        }
        outcomes.push({
            taskCopy,
            endedFirst,
            isDone,
            firstRunCoreMs: computeCoreMs(taskCopy, firstRun),
            copyCoreMs: computeCoreMs(taskCopy, copy),
        });
    }
    return outcomes;
}
