import type { LeaderLimits } from "@chestnutspool/lead-jobs";
import type { ControlAddress, LogSection } from "@chestnutspool/types";

/** Settings that only a control process has. */
export interface ControlSettings extends LeaderLimits {
    readonly dataFolder: string;
    /** Whether the process forms a new cluster; true only at the first start of the whole system. */
    readonly formsCluster: boolean;
    /** Memory that the host grants the process, in bytes; undefined if only the limit of the heap is known. */
    readonly memoryLimitBytes?: number | undefined;
}

/** Settings of a process that takes part in scheduling jobs. */
export interface JobProcessSettings {
    /** Identity of the process; its IP address, so that the identity can be derived from `HOST:PORT`. */
    readonly id: string;
    readonly hostName: string;
    readonly region: string;
    readonly availabilityZone: string;
    /** IP address and port of its peer link. */
    readonly peerHost: string;
    readonly peerPort: number;
    /** Control processes that are known at the start; there may be others. */
    readonly seeds: readonly ControlAddress[];
    /** Undefined for an entry process. */
    readonly control: ControlSettings | undefined;
    readonly logLevel: "debug" | "info" | "warn" | "error";
}

/** Timing of the replicated log; hosts of one region are 1 ms apart, and a sync takes a few milliseconds. */
export const logTiming: LogSection = {
    electionTimeoutMinMs: 600,
    electionTimeoutMaxMs: 1_200,
    heartbeatMs: 100,
    snapshotEveryEntries: 5_000,
};
