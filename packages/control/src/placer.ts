import type { ClusterState, ControlCommand, WorkerReport } from "@chestnutspool/types";

type WithoutTime<Command> = Command extends unknown ? Omit<Command, "nowMs"> : never;

/** A decision of the scheduler; it becomes a command with the leader's time. */
export type PlacementDecision = WithoutTime<
    Extract<
        ControlCommand,
        { readonly kind: "placeTask" | "rejectTask" | "requestEviction" | "throttleTask" | "setAsideWorker"; }
    >
>;

/** Decides where tasks run; all times are wall-clock milliseconds since the epoch. */
export interface Placer {
    readonly recordReports: (reports: readonly WorkerReport[], nowMs: number) => void;
    readonly planPlacements: (state: ClusterState, nowMs: number) => readonly PlacementDecision[];
}
