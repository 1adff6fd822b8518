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

/** Time after the begin of a request for which its finished record is kept; running records stay until they finish. */
const recordRetentionMs = 86_400_000;
/** Maximum number of records per tenant. */
const tenantRecordLimit = 100_000;
/** Maximum total size of the answers kept per tenant; the oldest answers are dropped first, their records stay. */
const tenantAnswerLimitBytes = 16_777_216;
/** Maximum size of an answer that is kept. */
const answerLimitBytes = 65_536;

type CommandOf<Kind extends ControlCommand["kind"]> = Extract<ControlCommand, { readonly kind: Kind; }>;

/** The record keys of a tenant in order of removal; created when absent. */
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

function removeRecord(model: Model, tenantRequests: TenantRequests, key: string): void {
    const record = model.requests.get(key);
    if (record !== undefined) {
        tenantRequests.answerBytes -= countAnswerBytes(record);
    }
    tenantRequests.running.delete(key);
    tenantRequests.finished.delete(key);
    model.requests.delete(key);
}

/** Drops the oldest answers beyond the size limit; their status and length stay. */
function dropAnswers(model: Model, tenantRequests: TenantRequests): void {
    if (tenantRequests.answerBytes <= tenantAnswerLimitBytes) {
        return;
    }
    for (const key of tenantRequests.finished) {
        const record = model.requests.get(key);
        if (record?.outcome.kind === "answered") {
            const { status, answer } = record.outcome;
            const outcome: RequestOutcome = { kind: "answeredNotKept", status, length: answer.length };
            model.requests.set(key, { ...record, outcome });
            tenantRequests.answerBytes -= answer.length;
            if (tenantRequests.answerBytes <= tenantAnswerLimitBytes) {
                return;
            }
        }
    }
}

function forgetRecords(model: Model, tenantRequests: TenantRequests): void {
    for (const key of tenantRequests.finished) {
        const record = model.requests.get(key);
        const isOld = record === undefined || record.beganAtMs + recordRetentionMs < model.clockMs;
        if (!isOld && tenantRequests.running.size + tenantRequests.finished.size <= tenantRecordLimit) {
            break;
        }
        removeRecord(model, tenantRequests, key);
    }
    dropAnswers(model, tenantRequests);
}

/** The result for a request whose id is known; undefined when the id is new or the request may begin again. */
function findKnownResult(
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

/** Records a non-idempotent request before its dispatch: once for each id, or again after it certainly did not run. */
export function beginRequest(model: Model, command: CommandOf<"beginRequest">): CommandResult {
    const { request } = command;
    const key = formatRequestKey(request.tenant, request.requestId);
    const known = findKnownResult(model, key, request);
    if (known !== undefined) {
        return known;
    }
    const error = checkShardOwner(model, request);
    if (error !== undefined) {
        return { kind: "refused", index: model.index, error };
    }
    const tenantRequests = getTenantRequests(model, request.tenant);
    if (tenantRequests.running.size >= tenantRecordLimit) {
        return {
            kind: "refused",
            index: model.index,
            error: { kind: "quotaExceeded", tenant: request.tenant, resource: "requests in progress" },
        };
    }
    const { tenant, requestId, bodyCrc32, bodyLength, entry, epoch } = request;
    removeRecord(model, tenantRequests, key);
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
    tenantRequests.running.add(key);
    forgetRecords(model, tenantRequests);
    return { kind: "requestBegun", index: model.index };
}

/** Copies an answer, because a view of the received frame would keep the whole frame in memory. */
function createKeptOutcome(outcome: RequestOutcome): RequestOutcome {
    if (outcome.kind !== "answered") {
        return outcome;
    }
    const { status, answer } = outcome;
    return answer.length > answerLimitBytes
        ? { kind: "answeredNotKept", status, length: answer.length }
        : { kind: "answered", status, answer: Uint8Array.from(answer) };
}

function setOutcome(
    model: Model,
    key: string,
    record: ModelRequest,
    outcome: RequestOutcome,
    mayBeginAgain: boolean,
): void {
    const tenantRequests = getTenantRequests(model, record.tenant);
    const next: ModelRequest = { ...record, outcome, mayBeginAgain };
    model.requests.set(key, next);
    tenantRequests.answerBytes += countAnswerBytes(next) - countAnswerBytes(record);
    tenantRequests.running.delete(key);
    tenantRequests.finished.add(key);
    forgetRecords(model, tenantRequests);
}

/**
 * Records the outcome of a request. The first certain outcome is final; the entry host that dispatched the request may
 * still replace `unknown`.
 */
export function finishRequest(model: Model, command: CommandOf<"finishRequest">): CommandResult {
    const key = formatRequestKey(command.tenant, command.requestId);
    const record = model.requests.get(key);
    if (record === undefined) {
        const error: ErrorData = { kind: "notFound", object: "request record", id: command.requestId };
        return { kind: "refused", index: model.index, error };
    }
    const isOtherBegin = command.beganIndex !== undefined && command.beganIndex !== record.beganIndex;
    if (record.entry !== command.entry || record.epoch !== command.epoch || isOtherBegin) {
        const subject = `request ${command.requestId}`;
        const error: ErrorData = { kind: "staleToken", subject, seen: command.epoch, current: record.epoch };
        return { kind: "refused", index: model.index, error };
    }
    const isOpen = record.outcome.kind === "running" || record.outcome.kind === "unknown";
    if (isOpen && command.outcome.kind !== "running") {
        // Without `beganIndex`, a late repetition of this command could end a second begin of the request.
        const mayBeginAgain = command.outcome.kind === "notRun" && command.beganIndex !== undefined;
        setOutcome(model, key, record, createKeptOutcome(command.outcome), mayBeginAgain);
    }
    return { kind: "done", index: model.index };
}

/** Sets the running records of a lost entry host to `unknown`, because no other process knows whether they ran. */
export function finishRequestsOfEntry(model: Model, entry: EntryId): void {
    for (const tenantRequests of model.requestsByTenant.values()) {
        for (const key of [...tenantRequests.running]) {
            const record = model.requests.get(key);
            if (record?.entry === entry) {
                setOutcome(model, key, record, { kind: "unknown" }, false);
            }
        }
    }
}
