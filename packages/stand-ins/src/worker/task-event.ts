/** How an attempt of a task ended at the stand-in worker. */
export type AttemptEnd = "succeeded" | "failed" | "stopped" | "leaseEnded" | "crashed";

/** What happened to an attempt of a task; `atMs` is monotonic time in milliseconds. */
export type TaskEvent =
    & {
        readonly atMs: number;
        readonly worker: string;
        readonly incarnation: string;
        readonly task: string;
        readonly token: bigint;
    }
    & (
        | { readonly kind: "started"; readonly resumedFrom: string | undefined; }
        | { readonly kind: "paused"; }
        | { readonly kind: "continued"; }
        | { readonly kind: "checkpointed"; readonly checkpoint: string; }
        | { readonly kind: "throttled"; readonly percent: number; }
        | { readonly kind: "ended"; readonly end: AttemptEnd; readonly checkpoint: string | undefined; }
    );
