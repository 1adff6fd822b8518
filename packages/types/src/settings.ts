import type { PeerId } from "./domain.js";

/** Role of a process. */
export type ProcessRole = "control" | "entry";

/** Section `process`: identity, roles and location of the process. */
export interface ProcessSection {
    readonly id: PeerId;
    readonly roles: readonly ProcessRole[];
    readonly host: string;
    readonly region: string;
    readonly availabilityZone: string;
    /** Folder for all files; required for the control role. */
    readonly dataFolder: string | undefined;
    readonly logLevel: "debug" | "info" | "warn" | "error";
}

/** Section `listen`: IP addresses and ports; port 0 lets the operating system choose. */
export interface ListenSection {
    readonly rpcHost: string;
    readonly rpcPort: number;
    readonly peerHost: string;
    readonly peerPort: number;
}

/** A control replica that the settings list. */
export interface ControlPeer {
    readonly id: PeerId;
    /** IP address and port of its peer link. */
    readonly address: string;
}

/** Section `log`: the replicated log. */
export interface LogSection {
    readonly electionTimeoutMinMs: number;
    readonly electionTimeoutMaxMs: number;
    readonly heartbeatMs: number;
    /** Entries after which a snapshot is taken. */
    readonly snapshotEveryEntries: number;
}

/** Section `leases`: durations in milliseconds. */
export interface LeaseSection {
    readonly sessionTtlMs: number;
    readonly sessionRenewMs: number;
    readonly sessionMarginMs: number;
    readonly workerLeaseMs: number;
    readonly workerMarginMs: number;
    /** Largest difference of clock rates that leases allow for, in percent. */
    readonly clockDriftPercent: number;
    readonly syncHoldMs: number;
    readonly minionSilenceMs: number;
}

/** Section `requests`: limits and intervals of request handling. */
export interface RequestSection {
    readonly queueLimit: number;
    readonly bodyLimitBytes: number;
    readonly answerLimitBytes: number;
    readonly streamLimitBytes: number;
    readonly retryBudgetPercent: number;
    readonly retryMinPerSecond: number;
    readonly freeSlotsIntervalMs: number;
    readonly drainLimitMs: number;
}

/** Section `placement`: weights and limits of the scheduler. */
export interface PlacementSection {
    readonly intervalMs: number;
    readonly tailLatencyWeight: number;
    readonly batchThroughputWeight: number;
    readonly evictionWeight: number;
    readonly evictionsPerMinute: number;
    /** Use of a worker above which batch work is throttled, in percent. */
    readonly highUsePercent: number;
}

/** All settings of a process. */
export interface ProcessSettings {
    readonly process: ProcessSection;
    readonly listen: ListenSection;
    /** Section `control`: the first members of the replicated log, one key for each. */
    readonly controlPeers: readonly ControlPeer[];
    readonly log: LogSection;
    readonly leases: LeaseSection;
    readonly requests: RequestSection;
    readonly placement: PlacementSection;
}
