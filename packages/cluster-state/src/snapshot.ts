import { Packr } from "msgpackr";
import { addToIndexes, isEnded, type Model, type ModelRequest } from "./model.js";
import { getTenantRequests } from "./request-records.js";

/** Version of the snapshot layout; incremented with each change that older code cannot read. */
const snapshotVersion = 1;

// With `useRecords`, an encoded record could refer to a structure defined elsewhere and could not be reused by itself.
const packr = new Packr({ useRecords: false });

/** Maps of records that are encoded one by one. */
const recordMaps = [
    "works",
    "tasks",
    "workers",
    "tenants",
    "entries",
    "minions",
    "ownership",
    "requests",
    "operatorRequests",
] as const satisfies readonly (keyof Model)[];

/** Maps from a key to a time. */
const timeMaps = ["finishedWorks", "attemptsUnknownUntilMs"] as const satisfies readonly (keyof Model)[];

/** Collections that are derived from the others. */
const derivedCollections = [
    "pendingTasks",
    "impossibleTasks",
    "tasksByWorker",
    "usedByTenant",
    "openTasksByWork",
    "requestsByTenant",
] as const satisfies readonly (keyof Model)[];

const storedValues = ["index", "clockMs", "sequence", "ownershipVersion", "configuration"] as const;

const storedLists = ["configurationHistory", "events"] as const;

type RecordMapName = (typeof recordMaps)[number];

/** The first value of a snapshot; the records of the maps follow as pairs of key and record. */
interface SnapshotHead extends Pick<Model, (typeof storedValues)[number] | (typeof storedLists)[number]> {
    readonly version: number;
    /** Earlier builds do not write it. */
    readonly evacuatedZones?: readonly string[];
    /** Number of records of each map, in the order of `recordMaps`. */
    readonly counts: readonly number[];
    readonly times: Readonly<Record<(typeof timeMaps)[number], readonly (readonly [string, number])[]>>;
    /** Keys of the finished request records, tenant by tenant, in the order in which they finished. */
    readonly finishedRequests: readonly string[];
    /** Keys of the running request records, tenant by tenant, in the order in which they began. */
    readonly runningRequests: readonly string[];
}

interface EncodedRecord {
    readonly record: unknown;
    readonly bytes: Uint8Array;
}

/**
 * Encoded records of the last snapshot, taken or restored. Records are replaced, never changed, so that the encoding of
 * a record that the model still holds is valid.
 */
export type SnapshotCache = Map<RecordMapName, ReadonlyMap<string, EncodedRecord>>;

function encodeHead(model: Model): Uint8Array {
    const byTenant = [...model.requestsByTenant.entries()].sort(([left], [right]) => left < right ? -1 : 1)
        .map(([, requests]) => requests);
    return packr.pack({
        version: snapshotVersion,
        ...Object.fromEntries([...storedValues, ...storedLists].map(name => [name, model[name]])),
        evacuatedZones: [...model.evacuatedZones],
        counts: recordMaps.map(name => model[name].size),
        times: Object.fromEntries(timeMaps.map(name => [name, [...model[name]]])),
        finishedRequests: byTenant.flatMap(requests => [...requests.finished]),
        runningRequests: byTenant.flatMap(requests => [...requests.running]),
    });
}

/** Encodes the whole state. With the cache, its time depends on the changes since the last snapshot, not the size. */
export function encodeSnapshot(model: Model, cache: SnapshotCache): Uint8Array {
    const chunks = [encodeHead(model)];
    for (const name of recordMaps) {
        const earlier = cache.get(name);
        const currentRecords = new Map<string, EncodedRecord>();
        for (const [key, record] of model[name]) {
            const known = earlier?.get(key);
            const encoded = known?.record === record ? known : { record, bytes: packr.pack([key, record]) };
            currentRecords.set(key, encoded);
            chunks.push(encoded.bytes);
        }
        cache.set(name, currentRecords);
    }
    return Buffer.concat(chunks);
}

function createOwnAnswer(record: ModelRequest): ModelRequest {
    if (record.outcome.kind !== "answered") {
        return record;
    }
    const outcome = { ...record.outcome, answer: Uint8Array.from(record.outcome.answer) };
    return { ...record, outcome };
}

function restoreRequestOrder(model: Model, head: SnapshotHead): void {
    for (const [key, record] of model.requests) {
        const owned = createOwnAnswer(record);
        model.requests.set(key, owned);
        if (owned.outcome.kind === "answered") {
            getTenantRequests(model, owned.tenant).answerBytes += owned.outcome.answer.length;
        }
    }
    for (const name of ["finished", "running"] as const) {
        for (const key of head[`${name}Requests`]) {
            const record = model.requests.get(key);
            if (record !== undefined) {
                getTenantRequests(model, record.tenant)[name].add(key);
            }
        }
    }
}

function restoreIndexes(model: Model): void {
    for (const task of model.tasks.values()) {
        addToIndexes(model, task);
        if (!isEnded(task)) {
            model.openTasksByWork.set(task.work, (model.openTasksByWork.get(task.work) ?? 0) + 1);
        }
    }
}

function restoreHead(model: Model, head: SnapshotHead): void {
    Object.assign(model, Object.fromEntries(storedValues.map(name => [name, head[name]])));
    for (const name of storedLists) {
        model[name].splice(0, model[name].length, ...(head[name] as never[]));
    }
    model.evacuatedZones.clear();
    head.evacuatedZones?.forEach(zone => model.evacuatedZones.add(zone));
    for (const name of timeMaps) {
        for (const [key, timeMs] of head.times[name]) {
            model[name].set(key, timeMs);
        }
    }
}

function restoreRecords(
    model: Model,
    head: SnapshotHead,
    pairs: readonly (readonly [string, EncodedRecord])[],
    cache: SnapshotCache,
): void {
    let position = 0;
    for (const [mapIndex, name] of recordMaps.entries()) {
        const mapPairs = pairs.slice(position, position + (head.counts[mapIndex] ?? 0));
        const target = model[name] as Map<string, unknown>;
        for (const [key, { record }] of mapPairs) {
            target.set(key, record);
        }
        cache.set(name, new Map(mapPairs));
        position += head.counts[mapIndex] ?? 0;
    }
    if (position !== pairs.length) {
        throw new Error(`snapshot has ${pairs.length} records instead of ${position}; take it from another replica`);
    }
}

function decodeSnapshot(bytes: Uint8Array): { head: SnapshotHead; pairs: (readonly [string, EncodedRecord])[]; } {
    let head: SnapshotHead | undefined;
    const pairs: (readonly [string, EncodedRecord])[] = [];
    packr.unpackMultiple(bytes, (value: unknown, start, end) => {
        if (head === undefined) {
            head = value as SnapshotHead;
            return;
        }
        const [key, record] = value as readonly [string, unknown];
        pairs.push([key, { record, bytes: bytes.subarray(start, end) }]);
    });
    if (head?.version !== snapshotVersion) {
        throw new Error(
            `snapshot has version ${head?.version}, this program reads ${snapshotVersion}; use the newer program`,
        );
    }
    return { head, pairs };
}

/** Replaces the contents of the model with a snapshot; the model object and its maps stay the same objects. */
export function restoreSnapshot(model: Model, bytes: Uint8Array, cache: SnapshotCache): void {
    const { head, pairs } = decodeSnapshot(bytes);
    for (const name of [...recordMaps, ...timeMaps, ...derivedCollections]) {
        model[name].clear();
    }
    restoreHead(model, head);
    restoreRecords(model, head, pairs, cache);
    restoreIndexes(model);
    restoreRequestOrder(model, head);
}
