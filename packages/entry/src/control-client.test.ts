import { create, type MessageInitShape } from "@bufbuild/protobuf";
import { silentLogger } from "@chestnutspool/logger";
import { createMemoryNetwork } from "@chestnutspool/peer-link";
import { createMetrics } from "@chestnutspool/record-metrics";
import {
    ApplyWorkRequestSchema,
    ChangeMembersRequestSchema,
    OperatorService,
    WorkerService,
} from "@chestnutspool/schema";
import type { ControlReply, ControlRequest, ErrorData } from "@chestnutspool/types";
import { Effect } from "effect";
import assert from "node:assert/strict";
import { test } from "node:test";
import { createControlClient } from "./control-client.js";
import { createEntryContext } from "./entry-context.js";
import { runScoped } from "./fakes/test-cluster.js";
import { buildSettings } from "./fakes/test-settings.js";
import { decideRetryPolicy } from "./forwarded-services.js";

const request: ControlRequest = { kind: "removeMinion", minion: "m" };
const done: ControlReply = { kind: "result", result: { kind: "done", index: 1 } };

/** Starts replicas that answer each call with the next of their replies; the last one is repeated. */
const createReplicas = Effect.fnUntraced(
    function*(
        repliesById: Readonly<Record<string, readonly (ControlReply | ErrorData["kind"])[]>>,
        answerAfterMs: number = 0,
    ) {
        const network = yield* createMemoryNetwork;
        const calls: string[] = [];
        for (const [id, replies] of Object.entries(repliesById)) {
            const replica = yield* network.createLink(id, silentLogger);
            let count = 0;
            replica.openChannel<ControlRequest, ControlReply>("control", {
                handleCall: () => {
                    calls.push(id);
                    const reply = replies[Math.min(count, replies.length - 1)] ?? done;
                    count += 1;
                    return typeof reply === "string"
                        ? Effect.fail<ErrorData>({ kind: "outcomeUnknown", subject: "call" })
                        : Effect.delay(Effect.succeed(reply), answerAfterMs);
                },
            });
        }
        const settings = {
            ...buildSettings("entry-1"),
            controlPeers: Object.keys(repliesById).map(id => ({ id, address: `memory:${id}` })),
        };
        const link = yield* network.createLink("entry-1", silentLogger);
        const services = { link, logger: silentLogger, metrics: createMetrics() };
        return { client: createControlClient(yield* createEntryContext(settings, services, "run-1")), calls };
    },
);

const notLeader = (leader: string | undefined): ControlReply => ({
    kind: "error",
    error: { kind: "notLeader", leader },
});

const getError = (call: Effect.Effect<unknown, ErrorData>): Effect.Effect<ErrorData> => Effect.orDie(Effect.flip(call));

void test("a call is redirected to the leader that a replica names, and later calls go there directly", () =>
    runScoped(Effect.gen(function*() {
        const { client, calls } = yield* createReplicas({ a: [notLeader("c")], b: [notLeader("c")], c: [done] });
        yield* client.callLeader(request, 2_000, "certain");
        assert.equal(calls.length, 2);
        yield* client.callLeader(request, 2_000, "certain");
        assert.deepEqual([calls.length, calls.at(-1), client.readLeader()], [3, "c", "c"]);
    })));

void test("a call whose outcome is unknown is retried only when applying it twice does no harm", () =>
    runScoped(Effect.gen(function*() {
        const once = yield* createReplicas({ a: ["outcomeUnknown", done] });
        const error = yield* getError(once.client.callLeader(request, 2_000, "certain"));
        assert.deepEqual([error.kind, once.calls.length], ["outcomeUnknown", 1]);
        const repeated = yield* createReplicas({ a: ["outcomeUnknown", done] });
        yield* repeated.client.callLeader(request, 2_000, "always");
        assert.equal(repeated.calls.length, 2);
        const lost = yield* createReplicas({ a: ["outcomeUnknown", notLeader(undefined)] });
        const last = yield* getError(lost.client.callLeader(request, 200, "always"));
        assert.equal(last.kind, "outcomeUnknown", "a later refusal does not show that the first call was not applied");
    })));

// A long poll for events was abandoned after the 1.5 s limit of one replica and sent again repeatedly, because the
// limit did not include the time for which the leader holds a call.
void test("a call that the leader holds is not sent again while it is held", () =>
    runScoped(Effect.gen(function*() {
        const { client, calls } = yield* createReplicas({ a: [done] }, 1_700);
        yield* client.callLeader(request, 10_000, "always", 5_000);
        assert.equal(calls.length, 1);
    })));

void test("operator calls are retried when they only read or have an operator request id, worker calls never", () => {
    const applyWork = (fields: MessageInitShape<typeof ApplyWorkRequestSchema>) =>
        decideRetryPolicy(OperatorService.method.applyWork, create(ApplyWorkRequestSchema, fields));
    assert.equal(applyWork({ operatorRequestId: "change-1" }), "always");
    assert.equal(applyWork({}), "certain");
    assert.equal(
        decideRetryPolicy(OperatorService.method.changeMembers, create(ChangeMembersRequestSchema)),
        "certain",
    );
    assert.equal(
        decideRetryPolicy(WorkerService.method.sync, create(WorkerService.method.sync.input)),
        "certain",
    );
    assert.equal(
        decideRetryPolicy(OperatorService.method.listTasks, create(OperatorService.method.listTasks.input)),
        "always",
    );
});
