import type { ProcessSettings } from "@chestnutspool/types";

/** Builds the settings of an entry host for tests, with short times. */
export function buildSettings(
    id: string,
    overrides: Partial<ProcessSettings["requests"]> = {},
    leases: Partial<ProcessSettings["leases"]> = {},
): ProcessSettings {
    return {
        process: {
            id,
            roles: ["entry"],
            host: id,
            region: "test",
            availabilityZone: "zone-a",
            dataFolder: undefined,
            logLevel: "error",
        },
        listen: { rpcHost: "127.0.0.1", rpcPort: 0, peerHost: "127.0.0.1", peerPort: 0 },
        controlPeers: [{ id: "control", address: "memory:control" }],
        log: { electionTimeoutMinMs: 600, electionTimeoutMaxMs: 1_200, heartbeatMs: 100, snapshotEveryEntries: 1_000 },
        leases: {
            sessionTtlMs: 1_000,
            sessionRenewMs: 100,
            sessionMarginMs: 100,
            workerLeaseMs: 10_000,
            workerMarginMs: 1_000,
            clockDriftPercent: 1,
            syncHoldMs: 1_000,
            minionSilenceMs: 3_000,
            ...leases,
        },
        requests: {
            queueLimit: 256,
            bodyLimitBytes: 4 * 1024 * 1024,
            answerLimitBytes: 4 * 1024 * 1024,
            streamLimitBytes: 64 * 1024 * 1024,
            retryBudgetPercent: 10,
            retryMinPerSecond: 3,
            freeSlotsIntervalMs: 100,
            drainLimitMs: 20_000,
            ...overrides,
        },
        placement: {
            intervalMs: 50,
            tailLatencyWeight: 1,
            batchThroughputWeight: 1,
            evictionWeight: 1,
            evictionsPerMinute: 10,
            highUsePercent: 90,
        },
    };
}
