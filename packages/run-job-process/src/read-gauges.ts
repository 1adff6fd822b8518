import type { Kernel } from "@chestnutspool/kernel";
import type { Gauge } from "@chestnutspool/record-metrics";
import { forwarderKey, logKey, machineKey, workerCallsKey } from "./create-job-process.js";
import type { JobProcessSettings } from "./process-settings.js";

const microsecondsPerSecond = 1e6;

function* listControlGauges(kernel: Kernel): Generator<Gauge> {
    const status = kernel.findService(logKey).readStatus();
    yield { name: "log_is_leader", value: status.role === "leader" ? 1 : 0 };
    yield { name: "log_term", value: status.term };
    yield { name: "log_last_index", value: status.lastIndex };
    yield { name: "log_members", value: status.members.length };
    const storage = kernel.findService(logKey).readStorageStatus();
    yield { name: "log_storage_stopped", value: storage.state === "stopped" ? 1 : 0 };
    yield { name: "log_storage_failing", value: storage.state === "failing" ? 1 : 0 };
    yield { name: "log_stored_bytes", value: storage.storedBytes };
    const { state } = kernel.findService(machineKey);
    yield { name: "jobs_open", value: state.openJobs.size };
    yield { name: "jobs_scheduled", value: state.scheduledJobs.size };
    yield { name: "state_held_bytes", value: state.heldBytes };
    yield { name: "state_budget_bytes", value: state.budgetBytes };
    yield { name: "workers", value: state.workers.size };
    yield { name: "zones_evacuated", value: state.evacuatedZones.size };
    yield { name: "worker_call_relays", value: kernel.findService(workerCallsKey).countRelays() };
    yield { name: "configuration_version", value: state.configuration?.version ?? 0 };
    let runs = 0;
    for (const worker of state.workers.values()) {
        runs += worker.runs.size;
    }
    yield { name: "runs_placed", value: runs };
}

/** Reads the current gauges of a process; those of the log, jobs and workers exist only in a control process. */
export function readGauges(kernel: Kernel, settings: JobProcessSettings): Gauge[] {
    const memory = process.memoryUsage();
    const { user, system } = process.cpuUsage();
    const gauges: Gauge[] = [
        { name: "has_leader", value: kernel.findService(forwarderKey).hasLeader() ? 1 : 0 },
        { name: "memory_resident_bytes", value: memory.rss },
        { name: "memory_heap_bytes", value: memory.heapUsed },
        { name: "uptime_seconds", value: process.uptime() },
        { name: "processor_seconds", value: (user + system) / microsecondsPerSecond },
    ];
    return settings.control === undefined ? gauges : [...gauges, ...listControlGauges(kernel)];
}
