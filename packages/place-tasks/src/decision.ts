import type { ClusterState, ControlCommand, WorkerReport } from "@chestnutspool/types";

type DecisionKind = "placeTask" | "rejectTask" | "requestEviction" | "throttleTask" | "setAsideWorker";

type WithoutTime<Command> = Command extends unknown ? Omit<Command, "nowMs"> : never;

/** A command that the placer wants logged; the caller adds the time. */
export type PlacementDecision = WithoutTime<Extract<ControlCommand, { readonly kind: DecisionKind; }>>;

/** Decides where tasks run. It belongs to one leader, and its memory may be lost without harm to the guarantees. */
export interface Placer {
    /** Takes usage reports of workers; `nowMs` is the wall-clock time of arrival in milliseconds since the epoch. */
    readonly recordReports: (reports: readonly WorkerReport[], nowMs: number) => void;
    /**
     * Plans one pass over the state; `nowMs` is wall-clock time in milliseconds since the epoch. The decisions fit
     * together. A decision that is not applied yet is not repeated before `decisionTimeoutMs`.
     */
    readonly planPlacements: (state: ClusterState, nowMs: number) => readonly PlacementDecision[];
}
