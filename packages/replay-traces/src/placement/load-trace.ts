import type { ErrorData } from "@chestnutspool/types";
import { readFileSync } from "node:fs";
import { fileURLToPath } from "node:url";
import { type Either, Left } from "purify-ts";
import { parseTrace, type Trace } from "./trace.js";

/** Names of the recorded placement traces in `traces/`. */
export const placementTraceNames = [
    "noisy-waves",
    "rack-lost",
    "sizes-off",
    "cancel-flood",
    "bad-worker",
    "never-runs",
    "borrowing",
] as const;

/** Reads a recorded trace. Fails with `storageFailed` when it is unreadable, `invalidArgument` when it is malformed. */
export function loadPlacementTrace(name: string): Either<ErrorData, Trace> {
    const file = fileURLToPath(new URL(`../../traces/placement-${name}.jsonl`, import.meta.url));
    try {
        return parseTrace(readFileSync(file, "utf8"));
    }
    catch (error) {
        return Left({ kind: "storageFailed", file, detail: String(error) });
    }
}
