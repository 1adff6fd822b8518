import { type DescMessage, type MessageShape, toBinary } from "@bufbuild/protobuf";
import * as schema from "@chestnutspool/schema";
import type { ErrorData } from "@chestnutspool/types";
import { Effect } from "effect";
import type { ControlContext } from "../control-context.js";
import { decodeMessage } from "../decode-message.js";
import { getLeaderMemory, type LeaderMemory } from "../leader-memory.js";
import * as changes from "./changes.js";
import * as reads from "./reads.js";

/** Handles one method of OperatorService; request and reply are encoded messages. */
type OperatorMethod = (context: ControlContext, body: Uint8Array) => Effect.Effect<Uint8Array, ErrorData>;

function defineChange<Request extends DescMessage, Reply extends DescMessage>(
    request: Request,
    reply: Reply,
    run: (context: ControlContext, message: MessageShape<Request>) => Effect.Effect<MessageShape<Reply>, ErrorData>,
): OperatorMethod {
    return Effect.fnUntraced(function*(context, body) {
        yield* getLeaderMemory(context);
        const message = yield* decodeMessage(request, body);
        return toBinary(reply, yield* run(context, message));
    });
}

/** A read is answered only after this replica confirmed that it leads and has applied all entries committed before. */
function defineRead<Request extends DescMessage, Reply extends DescMessage>(
    request: Request,
    reply: Reply,
    run: (
        context: ControlContext,
        message: MessageShape<Request>,
        memory: LeaderMemory,
    ) => Effect.Effect<MessageShape<Reply>, ErrorData>,
): OperatorMethod {
    return Effect.fnUntraced(function*(context, body) {
        yield* getLeaderMemory(context);
        const message = yield* decodeMessage(request, body);
        yield* context.log.confirmRead;
        const memory = yield* getLeaderMemory(context);
        return toBinary(reply, yield* run(context, message, memory));
    });
}

const methods: Readonly<Record<string, OperatorMethod>> = {
    ApplyWork: defineChange(schema.ApplyWorkRequestSchema, schema.ChangeResponseSchema, changes.applyWork),
    CancelWorks: defineChange(schema.CancelWorksRequestSchema, schema.ChangeResponseSchema, changes.cancelWorks),
    ApplyTenant: defineChange(schema.ApplyTenantRequestSchema, schema.ChangeResponseSchema, changes.applyTenant),
    SetConfiguration: defineChange(
        schema.SetConfigurationRequestSchema,
        schema.ChangeResponseSchema,
        changes.setConfiguration,
    ),
    SetWorkerAdmission: defineChange(
        schema.SetWorkerAdmissionRequestSchema,
        schema.ChangeResponseSchema,
        changes.setWorkerAdmission,
    ),
    SetZoneAdmission: defineChange(
        schema.SetZoneAdmissionRequestSchema,
        schema.ChangeResponseSchema,
        changes.setZoneAdmission,
    ),
    DrainEntry: defineChange(schema.DrainEntryRequestSchema, schema.ChangeResponseSchema, changes.drainEntry),
    ChangeMembers: defineChange(
        schema.ChangeMembersRequestSchema,
        schema.ChangeMembersResponseSchema,
        changes.changeMembers,
    ),
    GetWork: defineRead(schema.GetWorkRequestSchema, schema.GetWorkResponseSchema, reads.getWork),
    ListWorks: defineRead(schema.ListWorksRequestSchema, schema.ListWorksResponseSchema, reads.listWorks),
    ListTasks: defineRead(schema.ListTasksRequestSchema, schema.ListTasksResponseSchema, reads.listTasks),
    ListTenants: defineRead(schema.ListTenantsRequestSchema, schema.ListTenantsResponseSchema, reads.listTenants),
    GetConfiguration: defineRead(
        schema.GetConfigurationRequestSchema,
        schema.GetConfigurationResponseSchema,
        reads.getConfiguration,
    ),
    ListWorkers: defineRead(
        schema.ListWorkersRequestSchema,
        schema.ListWorkersResponseSchema,
        (context, message, memory) => reads.listWorkers(context, memory),
    ),
    ListMinions: defineRead(schema.ListMinionsRequestSchema, schema.ListMinionsResponseSchema, reads.listMinions),
    ListMembers: defineRead(
        schema.ListMembersRequestSchema,
        schema.ListMembersResponseSchema,
        (context, message, memory) => reads.listMembers(context, memory),
    ),
    ListEvents: defineRead(schema.ListEventsRequestSchema, schema.ListEventsResponseSchema, reads.listEvents),
};

/** Answers a forwarded call of OperatorService. Fails with `invalidArgument` for a method that control does not serve. */
export function handleOperatorCall(
    context: ControlContext,
    method: string,
    body: Uint8Array,
): Effect.Effect<Uint8Array, ErrorData> {
    const found = Object.hasOwn(methods, method) ? methods[method] : undefined;
    return found === undefined
        ? Effect.fail({
            kind: "invalidArgument",
            field: "method",
            seen: method,
            allowed: Object.keys(methods).join(", "),
        })
        : found(context, body);
}
