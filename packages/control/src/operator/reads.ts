import { create } from "@bufbuild/protobuf";
import {
    ConfigurationSchema,
    type GetConfigurationRequest,
    GetConfigurationResponseSchema,
    type GetWorkRequest,
    GetWorkResponseSchema,
    type ListEventsRequest,
    ListEventsResponseSchema,
    ListMembersResponseSchema,
    type ListMinionsRequest,
    ListMinionsResponseSchema,
    type ListTasksRequest,
    ListTasksResponseSchema,
    ListTenantsResponseSchema,
    ListWorkersResponseSchema,
    type ListWorksRequest,
    ListWorksResponseSchema,
} from "@chestnutspool/schema";
import {
    type ClusterState,
    type ConfigurationRecord,
    type ErrorData,
    type EventRecord,
    formatItemKey,
    noResources,
    readMonotonicMs,
} from "@chestnutspool/types";
import { Effect } from "effect";
import type { ControlContext } from "../control-context.js";
import type { LeaderMemory } from "../leader-memory.js";
import { createResourceMessage } from "../worker-messages.js";
import { createTaskStatus, createWorkStatus, listTasksOfWork } from "./convert-work.js";

const defaultPageSize = 100;
const maxPageSize = 1_000;
/** Longest wait for the first event of a page. */
const longestWaitMs = 10_000;

function checkLimit(limit: number): Effect.Effect<number, ErrorData> {
    if (limit > maxPageSize) {
        return Effect.fail({
            kind: "invalidArgument",
            field: "limit",
            seen: String(limit),
            allowed: `1 to ${maxPageSize}`,
        });
    }
    return Effect.succeed(limit === 0 ? defaultPageSize : limit);
}

function listNamesAfter(names: Iterable<string>, after: string): string[] {
    return [...names].filter(name => name > after).sort();
}

/** One work with all its tasks. */
export function getWork({ machine: { state } }: ControlContext, request: GetWorkRequest) {
    const work = state.works.get(request.name);
    if (work === undefined) {
        return Effect.fail<ErrorData>({ kind: "notFound", object: "work", id: request.name });
    }
    const tasks = listTasksOfWork(state, work).map(createTaskStatus);
    return Effect.succeed(create(GetWorkResponseSchema, { work: createWorkStatus(state, work), tasks }));
}

/** A page of works in order of their names. */
export const listWorks = Effect.fnUntraced(
    function*({ machine: { state } }: ControlContext, request: ListWorksRequest) {
        const limit = yield* checkLimit(request.limit);
        const works = listNamesAfter(state.works.keys(), request.afterName).flatMap(name => state.works.get(name) ?? [])
            .filter(work => request.tenant === "" || work.spec.tenant === request.tenant).slice(0, limit);
        return create(ListWorksResponseSchema, { works: works.map(work => createWorkStatus(state, work)) });
    },
);

/** A page of tasks in order of their ids. */
export const listTasks = Effect.fnUntraced(
    function*({ machine: { state } }: ControlContext, request: ListTasksRequest) {
        const limit = yield* checkLimit(request.limit);
        const work = state.works.get(request.work);
        if (request.work !== "" && work === undefined) {
            return yield* Effect.fail<ErrorData>({ kind: "notFound", object: "work", id: request.work });
        }
        const ids = work === undefined ? state.tasks.keys() : listTasksOfWork(state, work).map(task => task.id);
        const tasks = listNamesAfter(ids, request.afterId).flatMap(id => state.tasks.get(id) ?? [])
            .filter(task => request.phase === "" || task.phase === request.phase).slice(0, limit);
        return create(ListTasksResponseSchema, { tasks: tasks.map(createTaskStatus) });
    },
);

/** All tenants with their quota and the resources charged to them. */
export function listTenants({ machine: { state } }: ControlContext) {
    const tenants = [...state.tenants.values()].map(({ id, quota, weight, revision }) => ({
        id,
        weight,
        revision: BigInt(revision),
        quota: createResourceMessage(quota),
        used: createResourceMessage(state.usedByTenant.get(id) ?? noResources),
    }));
    return Effect.succeed(create(ListTenantsResponseSchema, { tenants }));
}

function createConfigurationMessage({ revision, entries, changedBy, acceptedAtMs }: ConfigurationRecord) {
    return create(ConfigurationSchema, {
        revision: BigInt(revision),
        entries: { ...entries },
        changedBy,
        acceptedAtMs: BigInt(acceptedAtMs),
    });
}

/** The configuration, its last revisions and the revision that each entry host has applied. */
export function getConfiguration(
    { machine: { state } }: ControlContext,
    request: GetConfigurationRequest,
    memory: LeaderMemory,
) {
    const { historyLimit } = request;
    const history = historyLimit === 0 ? [] : state.configurationHistory.slice(-historyLimit);
    const revisionByEntry = Object.fromEntries(
        [...state.entries.keys()].map(entry => [entry, BigInt(memory.sessions.get(entry)?.appliedRevision ?? 0)]),
    );
    return Effect.succeed(create(GetConfigurationResponseSchema, {
        configuration: createConfigurationMessage(state.configuration),
        history: history.map(createConfigurationMessage),
        revisionByEntry,
    }));
}

/** All workers with the time since their last sync, or since the start of the term when they have not synced in it. */
export const listWorkers = Effect.fnUntraced(function*(context: ControlContext, memory: LeaderMemory) {
    const nowMs = yield* readMonotonicMs;
    const workers = [...context.machine.state.workers.values()].map(worker => ({
        id: worker.id,
        availabilityZone: worker.availabilityZone,
        rack: worker.rack,
        admission: worker.admission,
        failuresInRow: worker.failuresInRow,
        capacity: createResourceMessage(worker.capacity),
        used: createResourceMessage(worker.used),
        lastSyncMs: Math.max(0, nowMs - (memory.workers.get(worker.id)?.syncedAtMs ?? memory.termBeganAtMs)),
    }));
    return create(ListWorkersResponseSchema, { workers, evacuatedZones: [...context.machine.state.evacuatedZones] });
});

/** The minions of a service, or all, with their owners. */
export function listMinions({ machine: { state } }: ControlContext, request: ListMinionsRequest) {
    const minions = [...state.minions.values()].filter(({ service }) =>
        request.service === "" || request.service === service
    ).map(minion => {
        const record = state.ownership.get(formatItemKey({ kind: "minion", minion: minion.id }));
        return { ...minion, owner: record?.owner ?? "", epoch: BigInt(record?.epoch ?? 0) };
    });
    return Effect.succeed(create(ListMinionsResponseSchema, { minions }));
}

function countOwnedItems(state: ClusterState, entry: string): number {
    return [...state.ownership.values()].filter(record => record.owner === entry).length;
}

/** The members of the replicated log and the entry hosts that have a session. */
export function listMembers({ machine: { state }, log }: ControlContext, memory: LeaderMemory) {
    const status = log.readStatus();
    const members = status.members.map(member => ({ ...member, leader: member.id === status.leader }));
    const entries = [...state.entries.values()].map(({ entry, peerAddress, availabilityZone, draining }) => ({
        id: entry,
        peerAddress,
        availabilityZone,
        draining,
        appliedRevision: BigInt(memory.sessions.get(entry)?.appliedRevision ?? 0),
        ownedItems: countOwnedItems(state, entry),
    }));
    return Effect.succeed(create(ListMembersResponseSchema, {
        members,
        entries,
        term: BigInt(status.term),
        commitIndex: BigInt(status.commitIndex),
    }));
}

function findPositionAfter(events: readonly EventRecord[], index: number): number {
    let low = 0;
    let high = events.length;
    while (low < high) {
        const middle = (low + high) >>> 1;
        if ((events[middle]?.index ?? 0) <= index) {
            low = middle + 1;
        }
        else {
            high = middle;
        }
    }
    return low;
}

/** Events after an index. The events of one index stay together, because the next page begins after the last index. */
function takeEvents(events: readonly EventRecord[], afterIndex: number, limit: number): EventRecord[] {
    const first = findPositionAfter(events, afterIndex);
    const last = events[first + limit - 1];
    return events.slice(first, last === undefined ? undefined : findPositionAfter(events, last.index));
}

/** A page of events. Without events after the index it waits for one: as long as requested, up to `longestWaitMs`. */
export const listEvents = Effect.fnUntraced(function*(context: ControlContext, request: ListEventsRequest) {
    const limit = yield* checkLimit(request.limit);
    const untilMs = (yield* readMonotonicMs) + Math.min(request.waitMs, longestWaitMs);
    while (true) {
        const changed = context.stateChanged.watchNext();
        const found = takeEvents(context.machine.state.events, Number(request.afterIndex), limit);
        const leftMs = untilMs - (yield* readMonotonicMs);
        if (found.length > 0 || leftMs <= 0) {
            const events = found.map(event => ({ ...event, index: BigInt(event.index), atMs: BigInt(event.atMs) }));
            return create(ListEventsResponseSchema, { events });
        }
        yield* Effect.raceFirst(changed, Effect.sleep(leftMs));
    }
});
