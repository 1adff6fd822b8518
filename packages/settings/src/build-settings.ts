import type { ControlPeer, ProcessSettings } from "@chestnutspool/types";
import { parseRoles } from "./check-value.js";
import { formatValueKey } from "./parse-ini.js";

type LogLevel = ProcessSettings["process"]["logLevel"];

/** Builds the settings from checked values. A value that is missing because of a fault becomes NaN or empty. */
export function buildSettings(
    values: ReadonlyMap<string, string>,
    controlPeers: readonly ControlPeer[],
): ProcessSettings {
    const getText = (section: string, key: string): string => values.get(formatValueKey(section, key)) ?? "";
    const getNumber = (section: string, key: string): number => Number(values.get(formatValueKey(section, key)) ?? NaN);
    return {
        process: {
            id: getText("process", "id"),
            roles: parseRoles(getText("process", "roles")) ?? [],
            host: getText("process", "host"),
            region: getText("process", "region"),
            availabilityZone: getText("process", "availability_zone"),
            dataFolder: values.get(formatValueKey("process", "data_folder")),
            logLevel: getText("process", "log_level") as LogLevel,
        },
        listen: {
            rpcHost: getText("listen", "rpc_host"),
            rpcPort: getNumber("listen", "rpc_port"),
            peerHost: getText("listen", "peer_host"),
            peerPort: getNumber("listen", "peer_port"),
        },
        controlPeers,
        log: {
            electionTimeoutMinMs: getNumber("log", "election_timeout_min_ms"),
            electionTimeoutMaxMs: getNumber("log", "election_timeout_max_ms"),
            heartbeatMs: getNumber("log", "heartbeat_ms"),
            snapshotEveryEntries: getNumber("log", "snapshot_every_entries"),
        },
        leases: {
            sessionTtlMs: getNumber("leases", "session_ttl_ms"),
            sessionRenewMs: getNumber("leases", "session_renew_ms"),
            sessionMarginMs: getNumber("leases", "session_margin_ms"),
            workerLeaseMs: getNumber("leases", "worker_lease_ms"),
            workerMarginMs: getNumber("leases", "worker_margin_ms"),
            clockDriftPercent: getNumber("leases", "clock_drift_percent"),
            syncHoldMs: getNumber("leases", "sync_hold_ms"),
            minionSilenceMs: getNumber("leases", "minion_silence_ms"),
        },
        requests: {
            queueLimit: getNumber("requests", "queue_limit"),
            bodyLimitBytes: getNumber("requests", "body_limit_bytes"),
            answerLimitBytes: getNumber("requests", "answer_limit_bytes"),
            streamLimitBytes: getNumber("requests", "stream_limit_bytes"),
            retryBudgetPercent: getNumber("requests", "retry_budget_percent"),
            retryMinPerSecond: getNumber("requests", "retry_min_per_second"),
            freeSlotsIntervalMs: getNumber("requests", "free_slots_interval_ms"),
            drainLimitMs: getNumber("requests", "drain_limit_ms"),
        },
        placement: {
            intervalMs: getNumber("placement", "interval_ms"),
            tailLatencyWeight: getNumber("placement", "tail_latency_weight"),
            batchThroughputWeight: getNumber("placement", "batch_throughput_weight"),
            evictionWeight: getNumber("placement", "eviction_weight"),
            evictionsPerMinute: getNumber("placement", "evictions_per_minute"),
            highUsePercent: getNumber("placement", "high_use_percent"),
        },
    };
}
