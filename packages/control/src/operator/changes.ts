import { create } from "@bufbuild/protobuf";
import {
    type ApplyTenantRequest,
    type ApplyWorkRequest,
    type CancelWorksRequest,
    type ChangeMembersRequest,
    ChangeMembersResponseSchema,
    type ChangeResponse,
    ChangeResponseSchema,
    type DrainEntryRequest,
    type SetConfigurationRequest,
    type SetWorkerAdmissionRequest,
    type SetZoneAdmissionRequest,
} from "@chestnutspool/schema";
import type {
    CommandResult,
    ErrorData,
    MemberChange,
    OperatorChange,
    WorkerAdmission,
    WorkSpec,
    ZoneAdmission,
} from "@chestnutspool/types";
import { Effect } from "effect";
import { type ControlContext, propose } from "../control-context.js";
import { convertResources } from "../worker-messages.js";
import { parseWork } from "./convert-work.js";

function createChangeResponse(result: CommandResult): Effect.Effect<ChangeResponse, ErrorData> {
    switch (result.kind) {
        case "refused":
            return Effect.fail(result.error);
        case "revision":
            return Effect.succeed(
                create(ChangeResponseSchema, { revision: BigInt(result.revision), index: BigInt(result.index) }),
            );
        case "done":
        case "requestBegun":
        case "requestKnown":
        case "batch":
            return Effect.succeed(create(ChangeResponseSchema, { index: BigInt(result.index) }));
    }
}

const applyChange = Effect.fnUntraced(function*(context: ControlContext, id: string, change: OperatorChange) {
    const result = yield* propose(context, { kind: "operatorChange", operatorRequestId: id, change });
    return yield* createChangeResponse(result);
});

/** Creates or replaces work. */
export const applyWork = Effect.fnUntraced(function*(context: ControlContext, request: ApplyWorkRequest) {
    const spec = yield* parseWork(request.work).caseOf<Effect.Effect<WorkSpec, ErrorData>>({
        Left: error => Effect.fail(error),
        Right: parsed => Effect.succeed(parsed),
    });
    const expectedRevision = Number(request.expectedRevision);
    return yield* applyChange(context, request.operatorRequestId, { kind: "applyWork", spec, expectedRevision });
});

/** Cancels works. */
export function cancelWorks(context: ControlContext, request: CancelWorksRequest) {
    return applyChange(context, request.operatorRequestId, { kind: "cancelWorks", names: request.names });
}

/** Creates or replaces a tenant. */
export function applyTenant(context: ControlContext, request: ApplyTenantRequest) {
    const { tenant } = request;
    return applyChange(context, request.operatorRequestId, {
        kind: "applyTenant",
        tenant: tenant?.id ?? "",
        quota: convertResources(tenant?.quota),
        weight: tenant === undefined || tenant.weight === 0 ? 1 : tenant.weight,
        expectedRevision: Number(request.expectedRevision),
    });
}

/** Sets and removes keys of the configuration. */
export function setConfiguration(context: ControlContext, request: SetConfigurationRequest) {
    return applyChange(context, request.operatorRequestId, {
        kind: "setConfiguration",
        entries: { ...request.entries },
        removedKeys: request.removedKeys,
        expectedRevision: Number(request.expectedRevision),
    });
}

/** Sets the admission of a worker to open or draining; other values are refused when the change is applied. */
export function setWorkerAdmission(context: ControlContext, request: SetWorkerAdmissionRequest) {
    const admission = request.admission as WorkerAdmission;
    return applyChange(context, request.operatorRequestId, {
        kind: "setWorkerAdmission",
        worker: request.worker,
        admission,
    });
}

/** Sets the admission of an availability zone to open or evacuated; other values are refused when the change is applied. */
export function setZoneAdmission(context: ControlContext, request: SetZoneAdmissionRequest) {
    const admission = request.admission as ZoneAdmission;
    return applyChange(context, request.operatorRequestId, {
        kind: "setZoneAdmission",
        availabilityZone: request.availabilityZone,
        admission,
    });
}

/** Drains an entry host, so that it hands over the items that it owns. */
export function drainEntry(context: ControlContext, request: DrainEntryRequest) {
    return applyChange(context, request.operatorRequestId, { kind: "drainEntry", entry: request.entry });
}

function parseMemberChange(change: ChangeMembersRequest["change"]): MemberChange | undefined {
    switch (change.case) {
        case "addLearner": {
            const { id, address, replicaIdentity } = change.value;
            return { kind: "addLearner", id, address, replicaIdentity };
        }
        case "promoteLearner":
            return { kind: "promoteLearner", id: change.value };
        case "removeMember":
            return { kind: "removeMember", id: change.value };
        case "transferLeadership":
        case undefined:
            return undefined;
    }
}

function checkMember(change: MemberChange): ErrorData | undefined {
    const requiredFields = change.kind === "addLearner"
        ? [["id", change.id], ["address", change.address], ["replicaIdentity", change.replicaIdentity]] as const
        : [["id", change.id]] as const;
    const emptyField = requiredFields.find(([, text]) => text === "");
    return emptyField === undefined
        ? undefined
        : { kind: "invalidArgument", field: emptyField[0], seen: "\"\"", allowed: "a text" };
}

/** Changes one member of the replicated log, or transfers leadership away from this replica. */
export const changeMembers = Effect.fnUntraced(function*(context: ControlContext, request: ChangeMembersRequest) {
    const { change } = request;
    const { log, link } = context;
    const memberChange = parseMemberChange(change);
    if (memberChange !== undefined) {
        const fault = checkMember(memberChange);
        yield* fault === undefined ? log.changeMembers(memberChange) : Effect.fail(fault);
    }
    else if (change.case === "transferLeadership" && change.value === link.self) {
        yield* log.transferLeadership;
    }
    else {
        const seen = change.case === "transferLeadership" ? change.value : "nothing";
        const allowed = `addLearner, promoteLearner, removeMember or transferLeadership from ${link.self}`;
        return yield* Effect.fail<ErrorData>({ kind: "invalidArgument", field: "change", seen, allowed });
    }
    return create(ChangeMembersResponseSchema);
});
