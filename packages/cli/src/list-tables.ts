import type {
    ChangeResponse,
    Event,
    GetConfigurationResponse,
    GetHealthResponse,
    GetStatisticsResponse,
    GetWorkResponse,
    ListEventsResponse,
    ListMembersResponse,
    ListMinionsResponse,
    ListTasksResponse,
    ListTenantsResponse,
    ListWorkersResponse,
    ListWorksResponse,
    ResourceAmounts,
    TaskStatus,
    WorkStatus,
} from "@chestnutspool/schema";
import type { Table } from "./print-result.js";

function formatAmounts(amounts: ResourceAmounts | undefined): string {
    return amounts === undefined ? "" : `${amounts.milliCpu}m/${amounts.memoryMib}Mi/${amounts.accelerators}`;
}

function formatTime(atMs: bigint): string {
    return atMs === 0n ? "" : new Date(Number(atMs)).toISOString();
}

function formatMap(map: Readonly<Record<string, unknown>>): string {
    return Object.entries(map).map(([key, value]) => `${key}=${String(value)}`).join(" ");
}

function listWorkRows(works: readonly WorkStatus[]): Table {
    return {
        header: ["NAME", "KIND", "TENANT", "REVISION", "CANCELLED", "TASKS", "CREATED"],
        rows: works.map(status => [
            status.work?.name,
            status.work?.kind.case,
            status.work?.tenant,
            status.revision,
            status.cancelled,
            formatMap(status.tasksByPhase),
            formatTime(status.createdAtMs),
        ]),
    };
}

function listTaskRows(tasks: readonly TaskStatus[]): Table {
    return {
        header: ["TASK", "PHASE", "WORKER", "TOKEN", "FAILURES", "EVICTIONS", "CHECKPOINT", "REASON"],
        rows: tasks.map(task => [
            task.id,
            task.phase,
            task.worker,
            task.token,
            task.failures,
            task.evictions,
            task.checkpoint,
            task.reason,
        ]),
    };
}

/** Tables of an accepted change. */
export function listChangeTables(response: ChangeResponse): readonly Table[] {
    return [{ header: ["REVISION", "INDEX"], rows: [[response.revision, response.index]] }];
}

/** Tables of one work. */
export function listWorkTables(response: GetWorkResponse): readonly Table[] {
    return [listWorkRows(response.work === undefined ? [] : [response.work]), listTaskRows(response.tasks)];
}

/** Tables of works. */
export function listWorksTables(response: ListWorksResponse): readonly Table[] {
    return [listWorkRows(response.works)];
}

/** Tables of tasks. */
export function listTasksTables(response: ListTasksResponse): readonly Table[] {
    return [listTaskRows(response.tasks)];
}

/** Tables of tenants. */
export function listTenantsTables(response: ListTenantsResponse): readonly Table[] {
    return [{
        header: ["TENANT", "WEIGHT", "QUOTA", "USED", "REVISION"],
        rows: response.tenants.map(tenant => [
            tenant.id,
            tenant.weight,
            formatAmounts(tenant.quota),
            formatAmounts(tenant.used),
            tenant.revision,
        ]),
    }];
}

function listEvacuatedZones({ evacuatedZones }: ListWorkersResponse): readonly Table[] {
    return evacuatedZones.length === 0
        ? []
        : [{ header: ["EVACUATED ZONE"], rows: evacuatedZones.map(zone => [zone]) }];
}

/** Tables of workers, and of the evacuated zones if there are any. */
export function listWorkersTables(response: ListWorkersResponse): readonly Table[] {
    return [{
        header: ["WORKER", "ZONE", "RACK", "ADMISSION", "CAPACITY", "USED", "FAILURES", "LAST SYNC MS"],
        rows: response.workers.map(worker => [
            worker.id,
            worker.availabilityZone,
            worker.rack,
            worker.admission,
            formatAmounts(worker.capacity),
            formatAmounts(worker.used),
            worker.failuresInRow,
            worker.lastSyncMs,
        ]),
    }, ...listEvacuatedZones(response)];
}

/** Tables of minions. */
export function listMinionsTables(response: ListMinionsResponse): readonly Table[] {
    return [{
        header: ["MINION", "SERVICE", "ADDRESS", "ZONE", "SLOTS", "CONNECTIONS", "OWNER", "EPOCH"],
        rows: response.minions.map(minion => [
            minion.id,
            minion.service,
            minion.address,
            minion.availabilityZone,
            minion.slots,
            minion.connections,
            minion.owner,
            minion.epoch,
        ]),
    }];
}

/** Tables of control replicas and entry hosts. */
export function listMembersTables(response: ListMembersResponse): readonly Table[] {
    return [
        { header: ["TERM", "COMMIT INDEX"], rows: [[response.term, response.commitIndex]] },
        {
            header: ["MEMBER", "ADDRESS", "REPLICA", "VOTES", "LEADER"],
            rows: response.members.map(member => [
                member.id,
                member.address,
                member.replicaIdentity,
                member.votes,
                member.leader,
            ]),
        },
        {
            header: ["ENTRY", "PEER ADDRESS", "ZONE", "DRAINING", "REVISION", "OWNED ITEMS"],
            rows: response.entries.map(entry => [
                entry.id,
                entry.peerAddress,
                entry.availabilityZone,
                entry.draining,
                entry.appliedRevision,
                entry.ownedItems,
            ]),
        },
    ];
}

/** Tables of the configuration and its history. */
export function listConfigurationTables(response: GetConfigurationResponse, showHistory: boolean): readonly Table[] {
    if (showHistory) {
        return [{
            header: ["REVISION", "ACCEPTED", "CHANGED BY", "ENTRIES"],
            rows: response.history.map(revision => [
                revision.revision,
                formatTime(revision.acceptedAtMs),
                revision.changedBy,
                formatMap(revision.entries),
            ]),
        }];
    }
    const { configuration } = response;
    return [
        {
            header: ["REVISION", "ACCEPTED", "CHANGED BY"],
            rows: [[configuration?.revision, formatTime(configuration?.acceptedAtMs ?? 0n), configuration?.changedBy]],
        },
        { header: ["KEY", "VALUE"], rows: Object.entries(configuration?.entries ?? {}) },
        { header: ["ENTRY", "REVISION IN FORCE"], rows: Object.entries(response.revisionByEntry) },
    ];
}

/** Tables of the health of a process. */
export function listHealthTables(response: GetHealthResponse): readonly Table[] {
    return [{
        header: ["PROCESS", "READY", "ROLE", "LEADER", "REVISION", "CONFIRMED", "REASONS"],
        rows: [[
            response.process,
            response.ready,
            response.role,
            response.leader,
            response.configurationRevision,
            response.configurationConfirmed,
            response.reasons.join(", "),
        ]],
    }];
}

/** Tables of distributions and counters. */
export function listStatisticsTables(response: GetStatisticsResponse): readonly Table[] {
    return [
        {
            header: ["MEASURE", "TENANT", "CLASS", "COUNT", "P50", "P90", "P99", "P99.9", "MAX"],
            rows: response.distributions.map(distribution => [
                distribution.measure,
                distribution.tenant,
                distribution.class,
                distribution.count,
                distribution.p50,
                distribution.p90,
                distribution.p99,
                distribution.p999,
                distribution.max,
            ]),
        },
        {
            header: ["COUNTER", "TENANT", "CLASS", "VALUE"],
            rows: response.counters.map(counter => [counter.name, counter.tenant, counter.class, counter.value]),
        },
    ];
}

/** Tables of events. */
export function listEventsTables(response: ListEventsResponse): readonly Table[] {
    return [{
        header: ["INDEX", "TIME", "KIND", "SUBJECT", "DETAIL"],
        rows: response.events.map(event => [
            `${event.index}.${event.ordinal}`,
            formatTime(event.atMs),
            event.kind,
            event.subject,
            event.detail,
        ]),
    }];
}

/** Formats an event as one line, for `events --follow`. */
export function formatEvent(event: Event): string {
    return `${event.index}.${event.ordinal}  ${
        formatTime(event.atMs)
    }  ${event.kind}  ${event.subject}  ${event.detail}`;
}
