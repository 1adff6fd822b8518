import { Packr } from "msgpackr";
import { addToIndexes, isEnded, type Model, type ModelRequest } from "./model.js";
import { getTenantRequests } from "./request-records.js";

/** Version of the snapshot layout; raised with each change that older code cannot read. */
const snapshotVersion = 1;

const packr = new Packr({ useRecords: true });

/** Maps that a snapshot holds; the other maps and sets of the model are derived from them. */
const storedMaps = [
    "works",
    "tasks",
    "finishedWorks",
    "workers",
    "tenants",
    "entries",
    "minions",
    "ownership",
    "attemptsUnknownUntilMs",
    "requests",
    "operatorRequests",
] as const satisfies readonly (keyof Model)[];

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

interface SnapshotBody extends Pick<Model, (typeof storedValues)[number] | (typeof storedLists)[number]> {
    readonly version: number;
    /** Entries of each map in order. */
    readonly maps: Readonly<Record<(typeof storedMaps)[number], readonly (readonly [string, unknown])[]>>;
    /** Keys of the finished request records of all tenants in order of their end. */
    readonly finishedRequests: readonly string[];
    /** Keys of the running request records of all tenants in order of their begin. */
    readonly runningRequests: readonly string[];
}

/** Encodes the whole state. */
export function encodeSnapshot(model: Model): Uint8Array {
    const orders = [...model.requestsByTenant.entries()].sort(([left], [right]) => left < right ? -1 : 1)
        .map(([, order]) => order);
    const body = {
        version: snapshotVersion,
        ...Object.fromEntries([...storedValues, ...storedLists].map(name => [name, model[name]])),
        maps: Object.fromEntries(storedMaps.map(name => [name, [...model[name]]])),
        finishedRequests: orders.flatMap(order => [...order.finished]),
        runningRequests: orders.flatMap(order => [...order.running]),
    };
    return packr.pack(body);
}

function createOwnAnswer(record: ModelRequest): ModelRequest {
    if (record.outcome.kind !== "answered") {
        return record;
    }
    const outcome = { ...record.outcome, answer: Uint8Array.from(record.outcome.answer) };
    return { ...record, outcome };
}

function restoreRequestOrder(model: Model, body: SnapshotBody): void {
    for (const [key, record] of model.requests) {
        const own = createOwnAnswer(record);
        model.requests.set(key, own);
        if (own.outcome.kind === "answered") {
            getTenantRequests(model, own.tenant).answerBytes += own.outcome.answer.length;
        }
    }
    for (const name of ["finished", "running"] as const) {
        for (const key of body[`${name}Requests`]) {
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

/** Replaces the contents of the model by a snapshot; the model object and its maps stay the same objects. */
export function restoreSnapshot(model: Model, bytes: Uint8Array): void {
    const body = packr.unpack(bytes) as SnapshotBody;
    if (body.version !== snapshotVersion) {
        throw new Error(
            `snapshot has version ${body.version}, this program reads ${snapshotVersion}; use the newer program`,
        );
    }
    for (const name of [...storedMaps, ...derivedCollections]) {
        model[name].clear();
    }
    Object.assign(model, Object.fromEntries(storedValues.map(name => [name, body[name]])));
    for (const name of storedLists) {
        model[name].splice(0, model[name].length, ...(body[name] as never[]));
    }
    for (const name of storedMaps) {
        const target = model[name] as Map<string, unknown>;
        for (const [key, value] of body.maps[name]) {
            target.set(key, value);
        }
    }
    restoreIndexes(model);
    restoreRequestOrder(model, body);
}
