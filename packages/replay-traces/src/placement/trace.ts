import type { ErrorData, Resources, WorkSpec } from "@chestnutspool/types";
import { type Either, Left, Right } from "purify-ts";

/** True behaviour of the tasks of a work, which may differ from the declaration. */
export interface TaskTruth {
    /** Run time of a task alone on a worker, in milliseconds; undefined for a task that runs until it is stopped. */
    readonly runMs: number | undefined;
    readonly milliCpu: number;
    readonly memoryMib: number;
    /** True for tasks that fail on every worker. */
    readonly fails: boolean;
}

/** Slowdown in percent that one task of the second class adds to a task of the first class on the same worker. */
export type SlowdownTable = Readonly<Record<string, Readonly<Record<string, number>>>>;

/** One line of a placement trace; times are in milliseconds since the start of the trace. */
export type TraceLine =
    | {
        readonly kind: "head";
        readonly name: string;
        readonly seed: number;
        readonly durationMs: number;
        readonly slowdown: SlowdownTable;
    }
    | {
        readonly kind: "worker";
        readonly atMs: number;
        readonly worker: string;
        readonly availabilityZone: string;
        readonly rack: string;
        readonly capacity: Resources;
    }
    | { readonly kind: "workerLost"; readonly atMs: number; readonly worker: string; }
    | { readonly kind: "workerFails"; readonly atMs: number; readonly worker: string; readonly fails: boolean; }
    | { readonly kind: "tenant"; readonly atMs: number; readonly tenant: string; readonly quota: Resources; }
    | { readonly kind: "work"; readonly atMs: number; readonly spec: WorkSpec; readonly truth: TaskTruth; }
    | { readonly kind: "cancel"; readonly atMs: number; readonly names: readonly string[]; }
    | {
        /** Scales the slowdown that tasks of a class cause. */
        readonly kind: "load";
        readonly atMs: number;
        readonly interferenceClass: string;
        readonly percent: number;
    };

/** The first line of a trace. */
export type TraceHead = Extract<TraceLine, { readonly kind: "head"; }>;
/** A line of a trace other than the head: an event with its time. */
export type TraceEvent = Exclude<TraceLine, { readonly kind: "head"; }>;

/** A trace with its events in order of time. */
export interface Trace {
    readonly head: TraceHead;
    readonly events: readonly TraceEvent[];
}

const lineKinds: readonly string[] = [
    "head",
    "worker",
    "workerLost",
    "workerFails",
    "tenant",
    "work",
    "cancel",
    "load",
] satisfies readonly TraceLine["kind"][];

function parseLine(text: string, ordinal: number): Either<ErrorData, TraceLine> {
    const rejectLine = (seen: string, allowed: string): Either<ErrorData, TraceLine> =>
        Left({ kind: "invalidArgument", field: `line ${ordinal + 1} of the trace`, seen, allowed });
    let value: unknown;
    try {
        value = JSON.parse(text);
    }
    catch {
        return rejectLine(text.slice(0, 40), "a JSON object");
    }
    const kind = typeof value === "object" && value !== null && "kind" in value ? String(value.kind) : "no kind";
    return lineKinds.includes(kind) ? Right(value as TraceLine) : rejectLine(kind, `one of ${lineKinds.join(", ")}`);
}

/** Reads a trace in JSON lines. Fails with `invalidArgument` that names the line. */
export function parseTrace(text: string): Either<ErrorData, Trace> {
    const lines: TraceLine[] = [];
    for (const [ordinal, line] of text.split("\n").entries()) {
        if (line.trim() === "") {
            continue;
        }
        const parsed = parseLine(line, ordinal);
        if (parsed.isLeft()) {
            return Left(parsed.extract());
        }
        lines.push(parsed.extract() as TraceLine);
    }
    const [head, ...events] = lines;
    if (head?.kind !== "head" || events.some(line => line.kind === "head")) {
        return Left({
            kind: "invalidArgument",
            field: "trace",
            seen: head?.kind ?? "an empty file",
            allowed: "one head, in the first line",
        });
    }
    return Right({
        head,
        events: (events as TraceEvent[]).sort((left, right) => left.atMs - right.atMs),
    });
}
