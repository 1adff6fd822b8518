import {
    type CommandResult,
    computeShard,
    type ControlCommand,
    type EntryId,
    type ErrorData,
    formatItemKey,
    formatRequestKey,
    type RequestOutcome,
    type TenantId,
} from "@chestnutspool/types";
import type { Model, ModelRequest, TenantRequests } from "./model.js";

/** Time for which a record is kept after the request began. */
const recordKeptMs = 86_400_000;
/** Records of one tenant. */
const recordLimit = 100_000;
/** Bytes of kept answers of one tenant; the oldest answers are dropped first, their records stay. */
const answerBytesLimit = 16_777_216;
/** Largest answer that is kept. */
const answerLimitBytes = 65_536;

type CommandOf<Kind extends ControlCommand["kind"]> = Extract<ControlCommand, { readonly kind: Kind; }>;

/** The record order of a tenant, created when absent. */
export function getTenantRequests(model: Model, tenant: TenantId): TenantRequests {
    const existing = model.requestsByTenant.get(tenant);
    if (existing !== undefined) {
        return existing;
    }
    const created: TenantRequests = { running: new Set(), finished: new Set(), answerBytes: 0 };
    model.requestsByTenant.set(tenant, created);
    return created;
}

function countAnswerBytes(record: ModelRequest): number {
    return record.outcome.kind === "answered" ? record.outcome.answer.length : 0;
}

function removeRecord(model: Model, order: TenantRequests, key: string): void {
    const record = model.requests.get(key);
    if (record !== undefined) {
        order.answerBytes -= countAnswerBytes(record);
    }
    order.running.delete(key);
    order.finished.delete(key);
    model.requests.delete(key);
}

/** Drops the oldest answers beyond the byte limit; the fact and the status stay. */
function dropAnswers(model: Model, order: TenantRequests): void {
    if (order.answerBytes <= answerBytesLimit) {
        return;
    }
    for (const key of order.finished) {
        const record = model.requests.get(key);
        if (record?.outcome.kind === "answered") {
            const { status, answer } = record.outcome;
            const outcome: RequestOutcome = { kind: "answeredNotKept", status, length: answer.length };
            model.requests.set(key, { ...record, outcome });
            order.answerBytes -= answer.length;
            if (order.answerBytes <= answerBytesLimit) {
                return;
            }
        }
    }
}

function forgetRecords(model: Model, order: TenantRequests): void {
    for (const key of order.finished) {
        const record = model.requests.get(key);
        const old = record === undefined || record.beganAtMs + recordKeptMs < model.clockMs;
        if (!old && order.running.size + order.finished.size <= recordLimit) {
            break;
        }
        removeRecord(model, order, key);
    }
    dropAnswers(model, order);
}

/** Moves an earlier record out of the way of a resend, or returns what the resend gets. */
function findKnown(
    model: Model,
    key: string,
    request: CommandOf<"beginRequest">["request"],
): CommandResult | undefined {
    const record = model.requests.get(key);
    if (record === undefined) {
        return undefined;
    }
    if (record.bodyCrc32 !== request.bodyCrc32 || record.bodyLength !== request.bodyLength) {
        const error: ErrorData = { kind: "requestIdReused", requestId: request.requestId };
        return { kind: "refused", index: model.index, error };
    }
    return record.mayBeginAgain ? undefined : { kind: "requestKnown", index: model.index, record };
}

function checkShardOwner(model: Model, request: CommandOf<"beginRequest">["request"]): ErrorData | undefined {
    const item = { kind: "shard", shard: computeShard(request.tenant, request.requestId) } as const;
    const owner = model.ownership.get(formatItemKey(item));
    if (owner?.owner === request.entry && owner.epoch === request.epoch) {
        return undefined;
    }
    return { kind: "staleToken", subject: formatItemKey(item), seen: request.epoch, current: owner?.epoch ?? 0 };
}

/** Records a non-idempotent request before its dispatch, once for each id. */
export function beginRequest(model: Model, command: CommandOf<"beginRequest">): CommandResult {
    const { request } = command;
    const key = formatRequestKey(request.tenant, request.requestId);
    const known = findKnown(model, key, request);
    if (known !== undefined) {
        return known;
    }
    const error = checkShardOwner(model, request);
    if (error !== undefined) {
        return { kind: "refused", index: model.index, error };
    }
    const order = getTenantRequests(model, request.tenant);
    if (order.running.size >= recordLimit) {
        return {
            kind: "refused",
            index: model.index,
            error: { kind: "quotaExceeded", tenant: request.tenant, resource: "requests in progress" },
        };
    }
    const { tenant, requestId, bodyCrc32, bodyLength, entry, epoch } = request;
    removeRecord(model, order, key);
    model.requests.set(key, {
        tenant,
        requestId,
        bodyCrc32,
        bodyLength,
        entry,
        epoch,
        beganAtMs: model.clockMs,
        outcome: { kind: "running" },
        beganIndex: model.index,
        mayBeginAgain: false,
    });
    order.running.add(key);
    forgetRecords(model, order);
    return { kind: "requestBegun", index: model.index };
}

/** Copies an answer, which otherwise would keep the whole received frame in memory. */
function createKept(outcome: RequestOutcome): RequestOutcome {
    if (outcome.kind !== "answered") {
        return outcome;
    }
    const { status, answer } = outcome;
    return answer.length > answerLimitBytes
        ? { kind: "answeredNotKept", status, length: answer.length }
        : { kind: "answered", status, answer: Uint8Array.from(answer) };
}

function setOutcome(model: Model, key: string, record: ModelRequest, outcome: RequestOutcome, again: boolean): void {
    const order = getTenantRequests(model, record.tenant);
    const next: ModelRequest = { ...record, outcome, mayBeginAgain: again };
    model.requests.set(key, next);
    order.answerBytes += countAnswerBytes(next) - countAnswerBytes(record);
    order.running.delete(key);
    order.finished.add(key);
    forgetRecords(model, order);
}

/**
 * Records the outcome of a request. The first certain outcome stays; `unknown` may still be replaced by the entry host that
 * dispatched the request.
 */
export function finishRequest(model: Model, command: CommandOf<"finishRequest">): CommandResult {
    const key = formatRequestKey(command.tenant, command.requestId);
    const record = model.requests.get(key);
    if (record === undefined) {
        const error: ErrorData = { kind: "notFound", object: "request record", id: command.requestId };
        return { kind: "refused", index: model.index, error };
    }
    const otherBegin = command.beganIndex !== undefined && command.beganIndex !== record.beganIndex;
    if (record.entry !== command.entry || record.epoch !== command.epoch || otherBegin) {
        const subject = `request ${command.requestId}`;
        const error: ErrorData = { kind: "staleToken", subject, seen: command.epoch, current: record.epoch };
        return { kind: "refused", index: model.index, error };
    }
    const open = record.outcome.kind === "running" || record.outcome.kind === "unknown";
    if (open && command.outcome.kind !== "running") {
        // Without the index of its begin, a late repetition of this command could end a second begin of the request.
        const again = command.outcome.kind === "notRun" && command.beganIndex !== undefined;
        setOutcome(model, key, record, createKept(command.outcome), again);
    }
    return { kind: "done", index: model.index };
}

/** Ends the running records of an entry host that is gone: nobody else knows whether they ran. */
export function finishRequestsOf(model: Model, entry: EntryId): void {
    for (const order of model.requestsByTenant.values()) {
        for (const key of [...order.running]) {
            const record = model.requests.get(key);
            if (record?.entry === entry) {
                setOutcome(model, key, record, { kind: "unknown" }, false);
            }
        }
    }
}
