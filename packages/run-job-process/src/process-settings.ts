import type { ControlAddress, LogSection } from "@chestnutspool/types";

/** What a control process needs beside what all processes need. */
export interface ControlSettings {
    readonly dataFolder: string;
    /** This is the first start of the whole system, so that a first cluster is to be formed. */
    readonly formsCluster: boolean;
    /** Longest lease that a worker takes, in milliseconds. */
    readonly longestLeaseMs: number;
    /** Longest time that a worker needs to stop a run, in milliseconds. */
    readonly stopMs: number;
}

/** Settings of a process that takes part in scheduling jobs. */
export interface JobProcessSettings {
    /** Identity of the process; its IP number, so that it can be derived from an address. */
    readonly id: string;
    readonly hostName: string;
    readonly region: string;
    readonly availabilityZone: string;
    /** IP number and port of its peer link. */
    readonly peerHost: string;
    readonly peerPort: number;
    /** Some control processes, as far as known at the start. */
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
