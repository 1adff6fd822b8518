import {
    type EntryId,
    type EntrySessionRecord,
    formatItemKey,
    type MinionId,
    type MinionInfo,
    type OwnedItem,
    type OwnershipMap,
    type OwnershipRecord,
} from "@chestnutspool/types";

/** The newest ownership map that this process has seen. */
export interface OwnershipView {
    /** Replaces the map; returns false when the given one is not newer. */
    readonly updateMap: (map: OwnershipMap) => boolean;
    readonly readVersion: () => number;
    readonly findRecord: (item: OwnedItem) => OwnershipRecord | undefined;
    readonly findMinion: (minion: MinionId) => MinionInfo | undefined;
    readonly listMinions: (service: string) => readonly MinionInfo[];
    readonly listRecords: () => readonly OwnershipRecord[];
    readonly findEntry: (entry: EntryId) => EntrySessionRecord | undefined;
    readonly listEntries: () => readonly EntrySessionRecord[];
    /** Longest run of a request of a service in milliseconds. */
    readonly getMaxRunMs: (service: string) => number;
    /** Whether an entry host owns a minion of a service. */
    readonly hasMinionOf: (entry: EntryId, service: string) => boolean;
}

/** Longest run of a request of a service without a specification, in milliseconds. */
const defaultMaxRunMs = 60_000;

/** Version before the first map; lower than any version of a map. */
const initialVersion = -1;

const emptyMap: OwnershipMap = {
    version: initialVersion,
    entries: [],
    minions: [],
    ownership: [],
    maxRunMsByService: {},
};

/** Creates a view without a map. */
export function createOwnershipView(): OwnershipView {
    let map = emptyMap;
    let records: ReadonlyMap<string, OwnershipRecord> = new Map();
    let minions: ReadonlyMap<MinionId, MinionInfo> = new Map();
    const findRecord = (item: OwnedItem): OwnershipRecord | undefined => records.get(formatItemKey(item));
    const listMinions = (service: string): readonly MinionInfo[] =>
        map.minions.filter(minion => minion.service === service);
    return {
        updateMap: next => {
            if (next.version <= map.version) {
                return false;
            }
            map = next;
            records = new Map(next.ownership.map(record => [formatItemKey(record.item), record]));
            minions = new Map(next.minions.map(minion => [minion.id, minion]));
            return true;
        },
        readVersion: () => map.version,
        findRecord,
        findMinion: minion => minions.get(minion),
        listMinions,
        listRecords: () => map.ownership,
        findEntry: entry => map.entries.find(session => session.entry === entry),
        listEntries: () => map.entries,
        getMaxRunMs: service =>
            // Callers choose service names; one such as `constructor` must not read an inherited property.
            Object.hasOwn(map.maxRunMsByService, service)
                ? map.maxRunMsByService[service] ?? defaultMaxRunMs
                : defaultMaxRunMs,
        hasMinionOf: (entry, service) =>
            listMinions(service).some(minion => findRecord({ kind: "minion", minion: minion.id })?.owner === entry),
    };
}
