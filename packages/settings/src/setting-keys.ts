/** Rule for the values that a key allows. */
export type ValueRule =
    | { readonly kind: "integer"; readonly min: number; readonly max: number; readonly unit: string; }
    | { readonly kind: "number"; readonly min: number; readonly max: number; readonly unit: string; }
    | { readonly kind: "identifier"; }
    | { readonly kind: "folder"; }
    | { readonly kind: "ipNumber"; readonly wildcard: boolean; }
    | { readonly kind: "roles"; }
    | { readonly kind: "choice"; readonly choices: readonly string[]; };

/** A key of the settings file. */
export interface SettingKey {
    readonly section: string;
    readonly key: string;
    readonly rule: ValueRule;
    /** Value when the key is absent; undefined when the key has none. */
    readonly defaultValue: string | undefined;
    readonly required: boolean;
    readonly meaning: string;
}

const mebibyte = 1024 * 1024;
const hourMs = 3_600_000;
const minuteMs = 60_000;

/** Section that names the first control replicas; its keys are their ids. */
export const controlSection = "control";

function defineMilliseconds(min: number, max: number): ValueRule {
    return { kind: "integer", min, max, unit: "ms" };
}

function defineWeight(): ValueRule {
    return { kind: "number", min: 0, max: 100, unit: "" };
}

function defineRequired(section: string, key: string, rule: ValueRule, meaning: string): SettingKey {
    return { section, key, rule, defaultValue: undefined, required: true, meaning };
}

function defineOptional(
    section: string,
    key: string,
    rule: ValueRule,
    defaultValue: string | number | undefined,
    meaning: string,
): SettingKey {
    const text = defaultValue === undefined ? undefined : String(defaultValue);
    return { section, key, rule, defaultValue: text, required: false, meaning };
}

const identifier: ValueRule = { kind: "identifier" };
const port: ValueRule = { kind: "integer", min: 0, max: 65_535, unit: "" };

/** All keys except those of section `control`, in the order of docs/settings.md. */
export const settingKeys: readonly SettingKey[] = [
    defineRequired("process", "id", identifier, "Identity of the process, unique in the region."),
    defineRequired("process", "roles", { kind: "roles" }, "Roles of the process."),
    defineRequired("process", "host", identifier, "Name of the host, for log lines."),
    defineRequired("process", "region", identifier, "Region of the process."),
    defineRequired("process", "availability_zone", identifier, "Availability zone of the process."),
    defineOptional(
        "process",
        "data_folder",
        { kind: "folder" },
        undefined,
        "Folder for all files. Required with the role control.",
    ),
    defineOptional(
        "process",
        "log_level",
        { kind: "choice", choices: ["debug", "info", "warn", "error"] },
        "info",
        "Lowest level of log lines that are written.",
    ),
    defineOptional(
        "listen",
        "rpc_host",
        { kind: "ipNumber", wildcard: true },
        "127.0.0.1",
        "IP number on which RPC is served.",
    ),
    defineOptional("listen", "rpc_port", port, 7410, "Port of RPC; with 0 the operating system chooses."),
    defineOptional(
        "listen",
        "peer_host",
        { kind: "ipNumber", wildcard: false },
        "127.0.0.1",
        "IP number on which the other processes reach this one.",
    ),
    defineOptional("listen", "peer_port", port, 7411, "Port of the peer link; with 0 the operating system chooses."),
    defineOptional(
        "log",
        "election_timeout_min_ms",
        defineMilliseconds(50, minuteMs),
        600,
        "Least time without a heartbeat after which a replica stands for election.",
    ),
    defineOptional(
        "log",
        "election_timeout_max_ms",
        defineMilliseconds(50, minuteMs),
        1200,
        "Greatest such time. Above election_timeout_min_ms.",
    ),
    defineOptional(
        "log",
        "heartbeat_ms",
        defineMilliseconds(5, minuteMs),
        100,
        "Interval of the leader's heartbeats. Below half of election_timeout_min_ms.",
    ),
    defineOptional(
        "log",
        "snapshot_every_entries",
        { kind: "integer", min: 100, max: 10_000_000, unit: "entries" },
        10_000,
        "Log entries after which a snapshot is taken.",
    ),
    defineOptional(
        "leases",
        "session_ttl_ms",
        defineMilliseconds(300, hourMs),
        3000,
        "Time to live of an entry session.",
    ),
    defineOptional(
        "leases",
        "session_renew_ms",
        defineMilliseconds(20, hourMs),
        500,
        "Interval of session renewals. Below a third of session_ttl_ms.",
    ),
    defineOptional(
        "leases",
        "session_margin_ms",
        defineMilliseconds(0, hourMs),
        250,
        "Time that control waits in addition before it expires a session.",
    ),
    defineOptional("leases", "worker_lease_ms", defineMilliseconds(500, hourMs), 10_000, "Lease of a worker."),
    defineOptional(
        "leases",
        "worker_margin_ms",
        defineMilliseconds(0, hourMs),
        1000,
        "Time that control waits in addition before it expires a worker.",
    ),
    defineOptional(
        "leases",
        "clock_drift_percent",
        { kind: "number", min: 0, max: 10, unit: "percent" },
        1,
        "Largest difference of clock rates that leases allow for.",
    ),
    defineOptional(
        "leases",
        "sync_hold_ms",
        defineMilliseconds(0, minuteMs),
        3000,
        "Longest time that a worker's sync is held open. Below a third of worker_lease_ms.",
    ),
    defineOptional(
        "leases",
        "minion_silence_ms",
        defineMilliseconds(100, hourMs),
        3000,
        "Time without an announcement after which a minion gets no new work.",
    ),
    defineOptional(
        "requests",
        "queue_limit",
        { kind: "integer", min: 1, max: 100_000, unit: "requests" },
        256,
        "Requests that one coordinator queues.",
    ),
    defineOptional(
        "requests",
        "body_limit_bytes",
        { kind: "integer", min: 1024, max: 4 * mebibyte, unit: "bytes" },
        4 * mebibyte,
        "Largest body of a request.",
    ),
    defineOptional(
        "requests",
        "answer_limit_bytes",
        { kind: "integer", min: 1024, max: 4 * mebibyte, unit: "bytes" },
        4 * mebibyte,
        "Largest answer of Submit. At most stream_limit_bytes.",
    ),
    defineOptional(
        "requests",
        "stream_limit_bytes",
        { kind: "integer", min: 1024, max: 64 * mebibyte, unit: "bytes" },
        64 * mebibyte,
        "Largest answer of SubmitStream.",
    ),
    defineOptional(
        "requests",
        "retry_budget_percent",
        { kind: "number", min: 0, max: 100, unit: "percent" },
        10,
        "Retries in percent of first attempts.",
    ),
    defineOptional(
        "requests",
        "retry_min_per_second",
        { kind: "number", min: 0, max: 1000, unit: "retries/s" },
        3,
        "Retries that are allowed at any load.",
    ),
    defineOptional(
        "requests",
        "free_slots_interval_ms",
        defineMilliseconds(10, minuteMs),
        100,
        "Interval at which entry hosts tell each other their free slots.",
    ),
    defineOptional(
        "requests",
        "drain_limit_ms",
        defineMilliseconds(0, hourMs),
        60_000,
        "Longest time that a shutdown waits for requests in progress.",
    ),
    defineOptional(
        "placement",
        "interval_ms",
        defineMilliseconds(10, minuteMs),
        50,
        "Interval of the scheduling loop.",
    ),
    defineOptional("placement", "tail_latency_weight", defineWeight(), 1, "Weight of the tail latency of services."),
    defineOptional("placement", "batch_throughput_weight", defineWeight(), 1, "Weight of batch throughput."),
    defineOptional("placement", "eviction_weight", defineWeight(), 1, "Weight of evictions."),
    defineOptional(
        "placement",
        "evictions_per_minute",
        { kind: "number", min: 0, max: 10_000, unit: "evictions/min" },
        10,
        "Evictions that the scheduler may ask for, in all.",
    ),
    defineOptional(
        "placement",
        "high_use_percent",
        { kind: "number", min: 1, max: 100, unit: "percent" },
        85,
        "Use of a worker above which batch tasks are throttled.",
    ),
];

/** Describes the allowed values of a rule, for faults and docs/settings.md. */
export function describeRule(rule: ValueRule): string {
    switch (rule.kind) {
        case "integer":
            return `a whole number from ${rule.min} to ${rule.max}`;
        case "number":
            return `a number from ${rule.min} to ${rule.max}`;
        case "identifier":
            return "1 to 63 letters, digits, dots, hyphens and underscores";
        case "folder":
            return "the path of a folder";
        case "ipNumber":
            return rule.wildcard ? "an IP number" : "an IP number other than 0.0.0.0 and ::";
        case "roles":
            return "control, entry or both, separated by a comma";
        case "choice":
            return rule.choices.join(", ");
    }
}

/** The unit of a rule; empty without one. */
export function getUnit(rule: ValueRule): string {
    return rule.kind === "integer" || rule.kind === "number" ? rule.unit : "";
}
