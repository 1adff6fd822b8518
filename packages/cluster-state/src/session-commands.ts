import {
    type ControlCommand,
    type EntryId,
    type EntrySessionRecord,
    type ErrorData,
    formatItemKey,
    type OwnershipRecord,
} from "@chestnutspool/types";
import { type Either, Left, Right } from "purify-ts";
import { createFieldError } from "./check-operator-change.js";
import { addEvent, type Model } from "./model.js";
import { updateOwnership } from "./ownership-plan.js";
import { finishRequestsOfEntry } from "./request-records.js";

/** Longest run lease of a service plus a margin, after which attempts of an expired owner have ended. */
const unknownAttemptsMs = 660_000;
/** Maximum number of slots, and of connections, of one minion. */
const minionSlotLimit = 65_535;

type CommandOf<Kind extends ControlCommand["kind"]> = Extract<ControlCommand, { readonly kind: Kind; }>;

function isOwner(model: Model, entry: EntryId): boolean {
    return [...model.ownership.values()].some(record => record.owner === entry);
}

function setSession(model: Model, session: EntrySessionRecord): void {
    model.entries.set(session.entry, session);
    model.ownershipVersion += 1;
    updateOwnership(model, false);
}

/**
 * Opens or updates an entry session. A new incarnation is refused while the earlier one owns items, because only the
 * end of its session shows that it has stopped dispatching.
 */
export function openSession(model: Model, command: CommandOf<"openSession">): Either<ErrorData, number> {
    const { entry, incarnation, peerAddress, availabilityZone } = command.session;
    if (entry === "" || incarnation === "" || peerAddress === "") {
        return Left(createFieldError("session", "an empty string", "non-empty entry, incarnation and peerAddress"));
    }
    const previous = model.entries.get(entry);
    const isSameIncarnation = previous?.incarnation === incarnation;
    if (previous !== undefined && !isSameIncarnation && isOwner(model, entry)) {
        return Left({ kind: "sessionExpired", entry });
    }
    if (previous !== undefined && !isSameIncarnation) {
        finishRequestsOfEntry(model, entry);
    }
    // An incarnation that drains never stops draining.
    const draining = command.session.draining || (isSameIncarnation && previous.draining);
    setSession(model, { entry, incarnation, peerAddress, availabilityZone, draining });
    if (!isSameIncarnation) {
        addEvent(model, "entryJoined", entry, incarnation);
    }
    return Right(0);
}

/** Removes an entry host whose session has certainly expired and gives its items to the others. */
export function expireEntry(model: Model, command: CommandOf<"expireEntry">): Either<ErrorData, number> {
    const { entry, incarnation } = command;
    if (model.entries.get(entry)?.incarnation !== incarnation) {
        return Left({ kind: "notFound", object: "entry session", id: `${entry}, incarnation ${incarnation}` });
    }
    model.entries.delete(entry);
    model.ownershipVersion += 1;
    for (const [key, record] of model.ownership) {
        if (record.owner !== entry) {
            continue;
        }
        const successor = record.next !== undefined && model.entries.has(record.next) ? record.next : undefined;
        model.ownership.set(key, {
            ...record,
            owner: successor,
            epoch: model.sequence,
            phase: successor === undefined ? "unowned" : "owned",
            next: undefined,
            afterExpiry: true,
            attempts: [],
        });
        model.attemptsUnknownUntilMs.set(key, model.clockMs + unknownAttemptsMs);
    }
    finishRequestsOfEntry(model, entry);
    updateOwnership(model, false);
    addEvent(model, "entryExpired", entry, incarnation);
    return Right(0);
}

/** Marks a session as draining; its items are released to the other entry hosts. */
export function drainSession(model: Model, command: CommandOf<"drainSession">): Either<ErrorData, number> {
    const session = model.entries.get(command.entry);
    if (session?.incarnation !== command.incarnation) {
        return Left({
            kind: "notFound",
            object: "entry session",
            id: `${command.entry}, incarnation ${command.incarnation}`,
        });
    }
    if (!session.draining) {
        setSession(model, { ...session, draining: true });
    }
    return Right(0);
}

/** Marks the current session of an entry host as draining at an operator's request. */
export function drainEntry(model: Model, entry: EntryId): Either<ErrorData, number> {
    const session = model.entries.get(entry);
    if (session === undefined) {
        return Left({ kind: "notFound", object: "entry host", id: entry });
    }
    if (!session.draining) {
        setSession(model, { ...session, draining: true });
    }
    return Right(0);
}

/** Adds a minion or updates it; a new one gets an owner at once when there is an entry session. */
export function registerMinion(model: Model, command: CommandOf<"registerMinion">): Either<ErrorData, number> {
    const { minion } = command;
    const emptyField = (["id", "service", "address"] as const).find(field => minion[field] === "");
    if (emptyField !== undefined) {
        return Left(createFieldError(`minion.${emptyField}`, "", "a non-empty string"));
    }
    const field = (["slots", "connections"] as const).find(name => {
        const amount = minion[name];
        return !Number.isSafeInteger(amount) || amount < 1 || amount > minionSlotLimit;
    });
    if (field !== undefined) {
        return Left(createFieldError(`minion.${field}`, minion[field], `a whole number from 1 to ${minionSlotLimit}`));
    }
    const item = { kind: "minion", minion: minion.id } as const;
    const key = formatItemKey(item);
    model.minions.set(minion.id, minion);
    model.ownershipVersion += 1;
    if (!model.ownership.has(key)) {
        model.ownership.set(key, {
            item,
            owner: undefined,
            epoch: model.sequence,
            phase: "unowned",
            next: undefined,
            afterExpiry: false,
            attempts: [],
        });
        updateOwnership(model, false);
    }
    return Right(0);
}

/** Removes a minion. A later registration gets a higher epoch, because epochs are taken from the command sequence. */
export function removeMinion(model: Model, command: CommandOf<"removeMinion">): Either<ErrorData, number> {
    if (!model.minions.delete(command.minion)) {
        return Left({ kind: "notFound", object: "minion", id: command.minion });
    }
    const key = formatItemKey({ kind: "minion", minion: command.minion });
    model.ownership.delete(key);
    model.attemptsUnknownUntilMs.delete(key);
    model.ownershipVersion += 1;
    return Right(0);
}

/** Marks as few items as possible for release so that the entry hosts own numbers that differ by at most one. */
export function rebalanceOwnership(model: Model): Either<ErrorData, number> {
    updateOwnership(model, true);
    return Right(0);
}

function createMovedRecord(
    model: Model,
    record: OwnershipRecord,
    command: CommandOf<"moveOwnership">,
): OwnershipRecord {
    // The releasing owner does not know the attempts of a predecessor that expired shortly before.
    const unknownUntilMs = model.attemptsUnknownUntilMs.get(formatItemKey(record.item)) ?? 0;
    return {
        ...record,
        owner: record.next,
        epoch: model.sequence,
        phase: "owned",
        next: undefined,
        afterExpiry: record.afterExpiry && model.clockMs < unknownUntilMs,
        attempts: command.attempts,
    };
}

/** Transfers a released item to its next owner, with the attempts that are still in progress. */
export function moveOwnership(model: Model, command: CommandOf<"moveOwnership">): Either<ErrorData, number> {
    const key = formatItemKey(command.item);
    const record = model.ownership.get(key);
    if (record === undefined) {
        return Left({ kind: "notFound", object: "item", id: key });
    }
    if (record.phase !== "releasing" || record.owner !== command.from || record.epoch !== command.epoch) {
        return Left({ kind: "staleToken", subject: key, seen: command.epoch, current: record.epoch });
    }
    model.ownership.set(key, createMovedRecord(model, record, command));
    model.ownershipVersion += 1;
    addEvent(model, "ownershipMoved", key, `${command.from} to ${record.next ?? ""}`);
    return Right(0);
}
