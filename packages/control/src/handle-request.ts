import type { ControlReply, ControlRequest, ErrorData, MinionId, MinionInfo } from "@chestnutspool/types";
import { Effect } from "effect";
import { type ControlContext, propose, proposeAll, type ProposedCommand } from "./control-context.js";
import { getLeaderMemory } from "./leader-memory.js";
import { handleOperatorCall } from "./operator/handle-operator-call.js";
import { renewSession } from "./renew-session.js";
import { syncWorker } from "./sync-worker.js";

type ForwardCall = Extract<ControlRequest, { readonly kind: "forwardCall"; }>;

const proposeForReply = Effect.fnUntraced(function*(context: ControlContext, command: ProposedCommand) {
    yield* getLeaderMemory(context);
    return { kind: "result", result: yield* propose(context, command) } satisfies ControlReply;
});

function isSameMinion(left: MinionInfo | undefined, right: MinionInfo): boolean {
    return left !== undefined && left.service === right.service && left.address === right.address
        && left.availabilityZone === right.availabilityZone && left.slots === right.slots
        && left.connections === right.connections;
}

/** Registers a minion. An unchanged minion is not proposed again, because minions repeat their announcement. */
const registerMinion = Effect.fnUntraced(function*(context: ControlContext, minion: MinionInfo) {
    yield* getLeaderMemory(context);
    yield* context.log.confirmRead;
    const { state } = context.machine;
    if (isSameMinion(state.minions.get(minion.id), minion)) {
        return { kind: "result", result: { kind: "done", index: state.index } } satisfies ControlReply;
    }
    return yield* proposeForReply(context, { kind: "registerMinion", minion });
});

const removeMinion = Effect.fnUntraced(function*(context: ControlContext, minion: MinionId) {
    yield* getLeaderMemory(context);
    const [result] = yield* proposeAll(context, [{ kind: "removeMinion", minion }, { kind: "rebalanceOwnership" }]);
    return result === undefined
        ? yield* Effect.fail<ErrorData>({
            kind: "internal",
            detail: "the batch that removes a minion returned no results",
        })
        : { kind: "result", result } satisfies ControlReply;
});

const forwardCall = Effect.fnUntraced(function*(context: ControlContext, request: ForwardCall) {
    if (request.service === "operator") {
        const body = yield* handleOperatorCall(context, request.method, request.body);
        return { kind: "forwarded", body } satisfies ControlReply;
    }
    if (request.method !== "Sync") {
        const error: ErrorData = { kind: "invalidArgument", field: "method", seen: request.method, allowed: "Sync" };
        return yield* Effect.fail(error);
    }
    return { kind: "forwarded", body: yield* syncWorker(context, request.body) } satisfies ControlReply;
});

function dispatchRequest(context: ControlContext, request: ControlRequest): Effect.Effect<ControlReply, ErrorData> {
    switch (request.kind) {
        case "renewSession":
            return renewSession(context, request);
        case "registerMinion":
            return registerMinion(context, request.minion);
        case "removeMinion":
            return removeMinion(context, request.minion);
        case "beginRequest":
        case "finishRequest":
            return proposeForReply(context, request);
        case "forwardCall":
            return forwardCall(context, request);
    }
}

/** Handles a request to the control leader; errors become replies of kind `error`. */
export function handleRequest(context: ControlContext, request: ControlRequest): Effect.Effect<ControlReply> {
    return Effect.suspend(() => {
        context.callsInProgress += 1;
        return dispatchRequest(context, request);
    }).pipe(
        Effect.catch((error: ErrorData) => Effect.succeed<ControlReply>({ kind: "error", error })),
        Effect.ensuring(Effect.sync(() => {
            context.callsInProgress -= 1;
        })),
    );
}
