import { create, type DescMethod, fromBinary, type Message, toBinary } from "@bufbuild/protobuf";
import {
    type Event,
    ListEventsRequestSchema,
    type ListEventsResponse,
    OperatorService,
    type WatchEventsRequest,
    WorkerService,
} from "@chestnutspool/schema";
import type { ErrorData } from "@chestnutspool/types";
import type { ServiceImpl } from "@connectrpc/connect";
import { Effect } from "effect";
import type { CallRetryPolicy, ControlClient } from "./control-client.js";
import type { RunCall } from "./rpc-errors.js";

/** Time limit of a forwarded call, in milliseconds; the longest long poll takes 10 s. */
const forwardLimitMs = 15_000;
/** Time that the control leader waits for an event on behalf of a watching operator, in milliseconds. */
const watchWaitMs = 5_000;
/** Events of one page; the most that the schema allows. */
const watchPageEvents = 1_000;

/** Methods of OperatorService that entry hosts serve themselves. */
type LocalMethods = "getHealth" | "getStatistics" | "watchEvents";

/** Forwards calls of operators and workers to the control leader. */
export interface ForwardedServices {
    readonly operatorMethods: Omit<ServiceImpl<typeof OperatorService>, LocalMethods>;
    readonly workerMethods: ServiceImpl<typeof WorkerService>;
    readonly watchEvents: (request: WatchEventsRequest, signal: AbortSignal) => AsyncGenerator<Event>;
}

/**
 * Decides whether a call may be retried after an unknown outcome: when it only reads, or when it has an operator
 * request id, for which control returns the first outcome again.
 */
export function decideRetryPolicy(method: DescMethod, message: Message): CallRetryPolicy {
    if (/^(Get|List)/.test(method.name)) {
        return "always";
    }
    const id = (message as { readonly operatorRequestId?: unknown; }).operatorRequestId;
    return typeof id === "string" && id !== "" ? "always" : "certain";
}

/** Reads for how long a call lets the leader wait before it answers, in milliseconds. */
function readHoldMs(message: Message): number {
    const waitMs = (message as { readonly waitMs?: unknown; }).waitMs;
    return typeof waitMs === "number" ? waitMs : 0;
}

/** Creates the forwarding handlers. */
export function createForwardedServices(control: ControlClient, runCall: RunCall): ForwardedServices {
    const forwardCall = Effect.fnUntraced(
        function*(service: "operator" | "worker", method: DescMethod, message: Message) {
            const body = toBinary(method.input, message);
            const reply = yield* control.callLeader(
                { kind: "forwardCall", service, method: method.name, body },
                forwardLimitMs,
                decideRetryPolicy(method, message),
                readHoldMs(message),
            );
            if (reply.kind !== "forwarded") {
                return yield* Effect.fail<ErrorData>({ kind: "internal", detail: `unexpected reply ${reply.kind}` });
            }
            return fromBinary(method.output, reply.body);
        },
    );

    const createMethods = (service: "operator" | "worker", methods: readonly DescMethod[]) =>
        Object.fromEntries(methods.map(method => [
            method.localName,
            (message: Message, call: { readonly signal: AbortSignal; }) =>
                runCall(forwardCall(service, method, message), call.signal),
        ]));

    const local: ReadonlySet<string> = new Set<LocalMethods>(["getHealth", "getStatistics", "watchEvents"]);
    const forwardedMethods = OperatorService.methods.filter(method => !local.has(method.localName));

    const listEvents = (afterIndex: bigint): Effect.Effect<readonly Event[], ErrorData> => {
        const page = create(ListEventsRequestSchema, { afterIndex, waitMs: watchWaitMs, limit: watchPageEvents });
        return Effect.map(
            forwardCall("operator", OperatorService.method.listEvents, page),
            response => (response as ListEventsResponse).events,
        );
    };

    async function* watchEvents(request: WatchEventsRequest, signal: AbortSignal): AsyncGenerator<Event> {
        let last = { index: request.afterIndex, ordinal: Number.MAX_SAFE_INTEGER };
        let afterIndex = last.index;
        while (!signal.aborted) {
            const events = await runCall(listEvents(afterIndex), signal);
            const isNew = (event: Event): boolean =>
                event.index > last.index || (event.index === last.index && event.ordinal > last.ordinal);
            const newEvents = events.filter(isNew);
            for (const event of newEvents) {
                last = { index: event.index, ordinal: event.ordinal };
                yield event;
            }
            // A full page may end between the events of one command, so the next page starts with that command again.
            const isPageFull = events.length === watchPageEvents && newEvents.length > 0;
            afterIndex = isPageFull ? last.index - 1n : last.index;
        }
    }

    return {
        operatorMethods: createMethods("operator", forwardedMethods) as unknown as ForwardedServices["operatorMethods"],
        workerMethods: createMethods("worker", WorkerService.methods) as unknown as ForwardedServices["workerMethods"],
        watchEvents,
    };
}
