import type { ClusterState, ControlCommand, WorkerReport } from "@chestnutspool/types";

type DecisionKind = "placeTask" | "rejectTask" | "requestEviction" | "throttleTask" | "setAsideWorker";

type WithoutTime<Command> = Command extends unknown ? Omit<Command, "nowMs"> : never;

/** A command that the placer asks its caller to propose to the replicated log; the caller adds the time. */
export type PlacementDecision = WithoutTime<Extract<ControlCommand, { readonly kind: DecisionKind; }>>;

/** Decides where tasks run. It belongs to one leader; no guarantee depends on its memory, so it may be lost. */
export interface Placer {
    /** Takes usage reports of workers; `nowMs` is the wall-clock time of arrival in milliseconds since the epoch. */
    readonly recordReports: (reports: readonly WorkerReport[], nowMs: number) => void;
    /**
     * Plans one pass over the state; `nowMs` is wall-clock time in milliseconds since the epoch. The decisions of a
     * pass are consistent with each other. A decision that is not applied yet is not repeated before
     * `decisionTimeoutMs`.
     */
    readonly planPlacements: (state: ClusterState, nowMs: number) => readonly PlacementDecision[];
}
