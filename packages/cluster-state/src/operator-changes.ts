import type { CommandResult, ControlCommand, ErrorData, OperatorChange } from "@chestnutspool/types";
import { crc32 } from "node:zlib";
import { type Either, Left, Right } from "purify-ts";
import { checkOperatorChange, checkOperatorRequestId } from "./check-operator-change.js";
import { setConfiguration } from "./configuration-changes.js";
import type { Model } from "./model.js";
import { drainEntry } from "./session-commands.js";
import { applyTenant, applyWork, cancelWorks, forgetFinishedWorks } from "./work-changes.js";
import { setWorkerAdmission, setZoneAdmission } from "./worker-commands.js";

/** Number of operator request ids that are kept regardless of their age. */
const requestIdLimit = 10_000;
/** Minimum time for which a request id is kept, also beyond the limit. */
const requestIdRetentionMs = 86_400_000;

type OperatorCommand = Extract<ControlCommand, { readonly kind: "operatorChange"; }>;

function sortKeys(key: string, value: unknown): unknown {
    if (typeof value !== "object" || value === null || Array.isArray(value)) {
        return value;
    }
    return Object.fromEntries(Object.entries(value).sort(([left], [right]) => left < right ? -1 : 1));
}

/** CRC-32 of a change that does not depend on the order of its keys. */
function computeChangeCrc32(change: OperatorChange): number {
    return crc32(JSON.stringify(change, sortKeys));
}

function applyChange(model: Model, change: OperatorChange, changedBy: string): Either<ErrorData, number> {
    switch (change.kind) {
        case "applyWork":
            return applyWork(model, change, changedBy);
        case "cancelWorks":
            return cancelWorks(model, change, changedBy);
        case "applyTenant":
            return applyTenant(model, change, changedBy);
        case "setConfiguration":
            return setConfiguration(model, change, changedBy);
        case "setWorkerAdmission":
            return change.admission === "setAside"
                ? Right(0)
                : setWorkerAdmission(model, change.worker, change.admission);
        case "setZoneAdmission":
            return setZoneAdmission(model, change.availabilityZone, change.admission);
        case "drainEntry":
            return drainEntry(model, change.entry);
    }
}

function forgetOldRequestIds(model: Model): void {
    for (const [id, outcome] of model.operatorRequests) {
        if (model.operatorRequests.size <= requestIdLimit || outcome.atMs + requestIdRetentionMs >= model.clockMs) {
            return;
        }
        model.operatorRequests.delete(id);
    }
}

/** Applies an operator's change once per request id; a resend returns the first outcome. */
export function applyOperatorChange(model: Model, command: OperatorCommand): CommandResult {
    const { operatorRequestId, change } = command;
    const idFault = checkOperatorRequestId(operatorRequestId);
    if (idFault !== undefined) {
        return { kind: "refused", index: model.index, error: idFault };
    }
    const changeCrc32 = computeChangeCrc32(change);
    const known = model.operatorRequests.get(operatorRequestId);
    if (known !== undefined) {
        return known.changeCrc32 === changeCrc32
            ? known.result
            : {
                kind: "refused",
                index: model.index,
                error: { kind: "requestIdReused", requestId: operatorRequestId },
            };
    }
    const fault = checkOperatorChange(change);
    const outcome = fault === undefined ? applyChange(model, change, operatorRequestId) : Left(fault);
    const result = outcome.caseOf<CommandResult>({
        Left: error => ({ kind: "refused", index: model.index, error }),
        Right: revision =>
            revision === 0 ? { kind: "done", index: model.index } : { kind: "revision", index: model.index, revision },
    });
    model.operatorRequests.set(operatorRequestId, { changeCrc32, atMs: model.clockMs, result });
    forgetOldRequestIds(model);
    forgetFinishedWorks(model);
    return result;
}
