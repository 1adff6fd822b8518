import type { LogMember } from "@chestnutspool/types";
import type { LogEntry } from "./messages.js";

/** The part of the log that is in memory: all entries after a base whose index and term are known. */
export interface LogWindow {
    readonly baseIndex: () => number;
    readonly lastIndex: () => number;
    readonly lastTerm: () => number;
    /** Term of the base or of an entry; undefined when the index is outside the window. */
    readonly findTerm: (index: number) => number | undefined;
    readonly findEntry: (index: number) => LogEntry | undefined;
    /** Entries from an index on, up to limits; at least one when there is one. */
    readonly listEntries: (from: number, maxEntries: number, maxBytes: number) => readonly LogEntry[];
    /** Finds the index after which the entries up to `until` are within limits; one larger entry counts as within them. */
    readonly findStartWithin: (until: number, maxEntries: number, maxBytes: number) => number;
    /** Adds the next entry. */
    readonly appendEntry: (entry: LogEntry) => void;
    /** Removes all entries after an index. */
    readonly dropAfter: (index: number) => void;
    /** Removes the entries up to an index, which becomes the base with its term. */
    readonly forgetUntil: (index: number) => void;
    /** Empties the window and sets its base. */
    readonly setBase: (index: number, term: number) => void;
    /** Member list of the last `members` entry at or before an index; undefined when there is none. */
    readonly findMembers: (index: number) => readonly LogMember[] | undefined;
    /** Index of the last member list: of its `members` entry or its snapshot; 0 when there is none. */
    readonly membersIndex: () => number;
    /** Sets the member list of a snapshot, in place of the lists up to its index. */
    readonly setMembers: (index: number, members: readonly LogMember[]) => void;
}

interface MemberList {
    readonly index: number;
    readonly members: readonly LogMember[];
}

/** Estimated size of an encoded entry in bytes, for the size limit of messages. */
export function estimateEntryBytes(entry: LogEntry): number {
    const overheadBytes = 64;
    switch (entry.kind) {
        case "command":
            return overheadBytes + entry.data.length;
        case "members":
            return overheadBytes + entry.members.length * 256;
        case "noop":
            return overheadBytes;
    }
}

/** Creates an empty window. */
export function createLogWindow(): LogWindow {
    let baseIndex = 0;
    let baseTerm = 0;
    let entries: LogEntry[] = [];
    let memberLists: MemberList[] = [];
    const lastIndex = (): number => baseIndex + entries.length;
    const findEntry = (index: number): LogEntry | undefined => entries[index - baseIndex - 1];
    const findTerm = (index: number): number | undefined => index === baseIndex ? baseTerm : findEntry(index)?.term;
    return {
        baseIndex: () => baseIndex,
        lastIndex,
        lastTerm: () => entries.at(-1)?.term ?? baseTerm,
        findTerm,
        findEntry,
        listEntries: (from, maxEntries, maxBytes) => {
            const listed: LogEntry[] = [];
            let bytes = 0;
            for (let index = from; index <= lastIndex() && listed.length < maxEntries; index += 1) {
                const entry = findEntry(index);
                if (entry === undefined) {
                    break;
                }
                bytes += estimateEntryBytes(entry);
                if (bytes > maxBytes && listed.length > 0) {
                    break;
                }
                listed.push(entry);
            }
            return listed;
        },
        findStartWithin: (until, maxEntries, maxBytes) => {
            let index = until;
            let bytes = 0;
            while (index > baseIndex && until - index < maxEntries) {
                const entry = findEntry(index);
                bytes += entry === undefined ? 0 : estimateEntryBytes(entry);
                if (bytes > maxBytes && index < until) {
                    break;
                }
                index -= 1;
            }
            return index;
        },
        appendEntry: entry => {
            if (entry.index !== lastIndex() + 1) {
                throw new Error(`entry ${entry.index} does not follow entry ${lastIndex()}`);
            }
            entries.push(entry);
            if (entry.kind === "members") {
                memberLists.push({ index: entry.index, members: entry.members });
            }
        },
        dropAfter: index => {
            entries.length = Math.max(0, Math.min(entries.length, index - baseIndex));
            memberLists = memberLists.filter(list => list.index <= index);
        },
        forgetUntil: index => {
            const term = findTerm(index);
            if (index <= baseIndex || term === undefined) {
                return;
            }
            entries = entries.slice(index - baseIndex);
            baseIndex = index;
            baseTerm = term;
            const kept = memberLists.findLastIndex(list => list.index <= index);
            memberLists = memberLists.slice(Math.max(0, kept));
        },
        setBase: (index, term) => {
            baseIndex = index;
            baseTerm = term;
            entries = [];
            memberLists = [];
        },
        findMembers: index => memberLists.findLast(list => list.index <= index)?.members,
        membersIndex: () => memberLists.at(-1)?.index ?? 0,
        setMembers: (index, members) => {
            memberLists = [{ index, members }, ...memberLists.filter(list => list.index > index)];
        },
    };
}
