import { create } from "@bufbuild/protobuf";
import type { Directive, EndedTask, RunningTask, StartAction, TaskUsage } from "@chestnutspool/schema";
import {
    EndedTaskSchema,
    ResourceAmountsSchema,
    RunningTaskSchema,
    TaskEnd,
    TaskUsageSchema,
} from "@chestnutspool/schema";
import type { Resources } from "@chestnutspool/types";
import type { TaskBehaviour } from "./behaviour.js";
import type { AttemptEnd, TaskEvent } from "./task-event.js";

interface RunningAttempt {
    readonly task: string;
    readonly token: bigint;
    readonly behaviour: TaskBehaviour;
    readonly declared: Resources;
    readonly checkpointIntervalMs: number;
    readonly startedAtMs: number;
    /** Run time so far, converted to full speed, in milliseconds; includes the progress of the resumed checkpoint. */
    progressMs: number;
    progressUpdatedAtMs: number;
    throttlePercent: number;
    checkpoint: string | undefined;
    checkpointedAtMs: number;
}

/** Settings of the simulated tasks of a worker. */
export interface WorkerTasksOptions {
    readonly worker: string;
    readonly incarnation: string;
    /** Age of the usage samples in milliseconds; younger tasks report none. */
    readonly usageLagMs: number;
    readonly findBehaviour: (command: string, task: string) => TaskBehaviour;
    readonly recordEvent: (event: TaskEvent) => void;
}

/** The tasks of one run of a stand-in worker. `nowMs` is monotonic time in milliseconds. */
export interface WorkerTasks {
    /**
     * Applies a directive. A start is ignored unless its token is higher than all known tokens of the task. The other
     * directives apply only to the running attempt with their token; a stop of another attempt reports it as stopped.
     */
    readonly applyDirective: (directive: Directive, nowMs: number) => void;
    /** Advances all tasks: takes due checkpoints and ends those whose run time is over. */
    readonly updateTasks: (nowMs: number) => void;
    readonly stopAll: (end: AttemptEnd, nowMs: number) => void;
    /** Pauses or continues all tasks, as on a host that freezes and recovers. */
    readonly setPaused: (paused: boolean, nowMs: number) => void;
    readonly setFailing: (failing: boolean) => void;
    readonly listRunning: () => RunningTask[];
    readonly listEnded: () => EndedTask[];
    readonly listUsage: (nowMs: number) => TaskUsage[];
    readonly forgetEnded: (tokens: readonly bigint[]) => void;
}

const checkpointSeparator = "@";

function formatCheckpoint(task: string, progressMs: number): string {
    return `${task}${checkpointSeparator}${Math.round(progressMs)}`;
}

/** Parses the progress in a checkpoint, in milliseconds; 0 for an empty one and one without a number. */
export function parseCheckpoint(checkpoint: string): number {
    const value = Number(checkpoint.slice(checkpoint.lastIndexOf(checkpointSeparator) + 1));
    return checkpoint === "" || !Number.isFinite(value) ? 0 : value;
}

function convertEnd(end: AttemptEnd): TaskEnd {
    switch (end) {
        case "succeeded":
            return TaskEnd.SUCCEEDED;
        case "failed":
            return TaskEnd.FAILED;
        case "stopped":
        case "leaseEnded":
        case "crashed":
            return TaskEnd.STOPPED;
    }
}

/** Creates the empty task list of a worker that has just started. */
export function createWorkerTasks(options: WorkerTasksOptions): WorkerTasks {
    const running = new Map<string, RunningAttempt>();
    const ended = new Map<bigint, EndedTask>();
    const highestTokens = new Map<string, bigint>();
    let failing = false;
    let paused = false;

    const buildEventFields = (attempt: { readonly task: string; readonly token: bigint; }, atMs: number) => ({
        atMs,
        worker: options.worker,
        incarnation: options.incarnation,
        task: attempt.task,
        token: attempt.token,
    });

    function endAttempt(attempt: RunningAttempt, end: AttemptEnd, atMs: number, reason: string): void {
        running.delete(attempt.task);
        const { task, token, checkpoint } = attempt;
        ended.set(
            token,
            create(EndedTaskSchema, { task, token, end: convertEnd(end), reason, checkpoint: checkpoint ?? "" }),
        );
        options.recordEvent({ ...buildEventFields(attempt, atMs), kind: "ended", end, checkpoint });
    }

    function updateProgress(attempt: RunningAttempt, nowMs: number): void {
        attempt.progressMs += Math.max(0, nowMs - attempt.progressUpdatedAtMs) * attempt.throttlePercent / 100;
        attempt.progressUpdatedAtMs = nowMs;
    }

    function takeCheckpoint(attempt: RunningAttempt, nowMs: number): void {
        updateProgress(attempt, nowMs);
        attempt.checkpoint = formatCheckpoint(attempt.task, attempt.progressMs);
        attempt.checkpointedAtMs = nowMs;
        options.recordEvent({
            ...buildEventFields(attempt, nowMs),
            kind: "checkpointed",
            checkpoint: attempt.checkpoint,
        });
    }

    function startAttempt(task: string, token: bigint, action: StartAction, nowMs: number): void {
        const earlier = running.get(task);
        if (earlier !== undefined) {
            endAttempt(earlier, "stopped", nowMs, "superseded by a higher token");
        }
        highestTokens.set(task, token);
        const resumedFrom = action.resumeFrom === "" ? undefined : action.resumeFrom;
        const attempt: RunningAttempt = {
            task,
            token,
            behaviour: options.findBehaviour(action.command, task),
            declared: {
                milliCpu: action.resources?.milliCpu ?? 0,
                memoryMib: action.resources?.memoryMib ?? 0,
                accelerators: action.resources?.accelerators ?? 0,
            },
            checkpointIntervalMs: action.checkpointIntervalMs,
            startedAtMs: nowMs,
            progressMs: parseCheckpoint(action.resumeFrom),
            progressUpdatedAtMs: nowMs,
            throttlePercent: 100,
            checkpoint: resumedFrom,
            checkpointedAtMs: nowMs,
        };
        running.set(task, attempt);
        options.recordEvent({ ...buildEventFields(attempt, nowMs), kind: "started", resumedFrom });
        if (failing) {
            endAttempt(attempt, "failed", nowMs, "the worker fails every start");
        }
    }

    function updateAttempt(attempt: RunningAttempt, nowMs: number): void {
        updateProgress(attempt, nowMs);
        const { behaviour, checkpointIntervalMs } = attempt;
        if (behaviour.runMs !== undefined && attempt.progressMs >= behaviour.runMs) {
            endAttempt(attempt, behaviour.fails ? "failed" : "succeeded", nowMs, behaviour.fails ? "told to fail" : "");
        }
        else if (checkpointIntervalMs > 0 && nowMs - attempt.checkpointedAtMs >= checkpointIntervalMs) {
            takeCheckpoint(attempt, nowMs);
        }
    }

    /** Reports an attempt that does not run here as stopped and prevents a later start; control waits for this report. */
    function refuseAttempt(task: string, token: bigint): void {
        const highest = highestTokens.get(task) ?? 0n;
        highestTokens.set(task, token > highest ? token : highest);
        if (!ended.has(token)) {
            const reason = "does not run here";
            ended.set(token, create(EndedTaskSchema, { task, token, end: TaskEnd.STOPPED, reason, checkpoint: "" }));
        }
    }

    function applyDirective(directive: Directive, nowMs: number): void {
        const { action, task, token } = directive;
        if (action.case === "start") {
            if (token > (highestTokens.get(task) ?? 0n)) {
                startAttempt(task, token, action.value, nowMs);
            }
            return;
        }
        const attempt = running.get(task);
        if (attempt === undefined || attempt.token !== token) {
            if (action.case === "stop") {
                refuseAttempt(task, token);
            }
            return;
        }
        switch (action.case) {
            case "checkpoint":
                takeCheckpoint(attempt, nowMs);
                break;
            case "throttle":
                updateProgress(attempt, nowMs);
                attempt.throttlePercent = action.value.percent;
                options.recordEvent({
                    ...buildEventFields(attempt, nowMs),
                    kind: "throttled",
                    percent: action.value.percent,
                });
                break;
            case "stop":
                endAttempt(attempt, "stopped", nowMs, "stopped by directive");
                break;
            case undefined:
                break;
        }
    }

    function setPaused(value: boolean, nowMs: number): void {
        if (paused === value) {
            return;
        }
        paused = value;
        for (const attempt of running.values()) {
            if (paused) {
                updateProgress(attempt, nowMs);
            }
            else {
                attempt.progressUpdatedAtMs = nowMs;
            }
            options.recordEvent({ ...buildEventFields(attempt, nowMs), kind: paused ? "paused" : "continued" });
        }
    }

    const buildUsage = ({ task, token, behaviour, declared }: RunningAttempt): TaskUsage =>
        create(TaskUsageSchema, {
            task,
            token,
            ageMs: options.usageLagMs,
            used: create(ResourceAmountsSchema, behaviour.used ?? declared),
            speedPercent: behaviour.speedPercent ?? 0,
        });

    return {
        applyDirective,
        updateTasks: nowMs => {
            if (!paused) {
                for (const attempt of [...running.values()]) {
                    updateAttempt(attempt, nowMs);
                }
            }
        },
        stopAll: (end, nowMs) => {
            for (const attempt of [...running.values()]) {
                endAttempt(attempt, end, nowMs, "all tasks of the worker stopped");
            }
        },
        setPaused,
        setFailing: value => {
            failing = value;
        },
        listRunning: () =>
            [...running.values()].map(({ task, token, checkpoint }) =>
                create(RunningTaskSchema, { task, token, checkpoint: checkpoint ?? "" })
            ),
        listEnded: () => [...ended.values()],
        listUsage: nowMs =>
            [...running.values()].filter(attempt => nowMs - attempt.startedAtMs >= options.usageLagMs).map(buildUsage),
        forgetEnded: tokens => {
            for (const token of tokens) {
                ended.delete(token);
            }
        },
    };
}
