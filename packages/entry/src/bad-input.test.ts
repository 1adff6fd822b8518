import type { RequestClass } from "@chestnutspool/schema";
import { Effect } from "effect";
import assert from "node:assert/strict";
import { connect } from "node:net";
import { test } from "node:test";
import {
    createTestCluster,
    describeOutcome,
    type Outcome,
    runScoped,
    submit,
    type TestEntry,
} from "./fakes/test-cluster.js";

interface RawAnswer {
    readonly status: number;
    readonly text: string;
}

const post = (entry: TestEntry, path: string, body: string, contentType = "application/json") =>
    Effect.promise(async (): Promise<RawAnswer> => {
        const response = await fetch(`http://${entry.api.rpcAddress}/${path}`, {
            method: "POST",
            headers: { "content-type": contentType },
            body,
        });
        return { status: response.status, text: await response.text() };
    });

const submitPath = "chestnutspool.v1.CallerService/Submit";

void test("malformed calls get a specific error, and the server continues to serve", () =>
    runScoped(Effect.gen(function*() {
        const cluster = yield* createTestCluster;
        const entry = yield* cluster.addEntry("entry-1");
        yield* cluster.addMinion([entry], { minion: "minion-1" });
        const cases: readonly (readonly [string, string, string, number])[] = [
            [submitPath, "{\"tenant\":", "application/json", 400],
            [submitPath, "{\"tenant\": 7}", "application/json", 400],
            [submitPath, "{\"deadlineMs\": -1}", "application/json", 400],
            [submitPath, "{\"deadlineMs\": 1e300}", "application/json", 400],
            [submitPath, "{\"body\": \"not base64 !\"}", "application/json", 400],
            // The RPC library reports a message that it cannot decode as "internal", with the reason.
            [submitPath, "\u00ff\u00ff\u00ff\u00ff", "application/proto", 500],
            [submitPath, "{}", "text/html", 415],
            ["chestnutspool.v1.CallerService/Nothing", "{}", "application/json", 404],
            ["nothing", "{}", "application/json", 404],
        ];
        for (const [path, body, contentType, status] of cases) {
            const answer = yield* post(entry, path, body, contentType);
            assert.equal(answer.status, status, `${path} ${body}: ${answer.text}`);
        }
        yield* Effect.promise(() =>
            new Promise<void>(resolve => {
                const [host, port] = entry.api.rpcAddress.split(":");
                const socket = connect(Number(port), host, () => socket.end("NOT HTTP AT ALL\r\n\r\n"));
                socket.on("close", () => resolve());
                socket.on("error", () => resolve());
                socket.resume();
            })
        );
        assert.equal(describeOutcome(yield* submit(entry, { body: Buffer.from("fine") })), "answered");
    })));

function readField(outcome: Outcome): string {
    return outcome.kind === "failed" ? outcome.detail?.remedy.split(" ")[0] ?? "" : "answered";
}

void test("invalid values are refused with the name of the field and what is allowed, and nothing runs", () =>
    runScoped(Effect.gen(function*() {
        const cluster = yield* createTestCluster;
        const entry = yield* cluster.addEntry("entry-1", { bodyLimitBytes: 1_000 });
        const minion = yield* cluster.addMinion([entry], { minion: "minion-1" });
        const cases = [
            [{ tenant: "" }, "tenant"],
            [{ tenant: "a\r\nchestnutspool-epoch: 9" }, "tenant"],
            [{ tenant: "x".repeat(129) }, "tenant"],
            [{ service: "" }, "service"],
            [{ deadlineMs: 0 }, "deadline_ms"],
            [{ deadlineMs: 600_001 }, "deadline_ms"],
            [{ deadlineMs: 4_294_967_295 }, "deadline_ms"],
            [{ idempotent: false }, "request_id"],
            [{ requestId: "x".repeat(129) }, "request_id"],
            [{ requestId: "caf\u00e9" }, "request_id"],
            [{ class: 7 as RequestClass }, "class"],
            [{ body: new Uint8Array(1_001) }, "body"],
        ] as const;
        for (const [fields, field] of cases) {
            const outcome = yield* submit(entry, fields);
            assert.equal(readField(outcome), field);
            assert.ok(outcome.kind === "failed" && outcome.detail?.notRun === true);
        }
        assert.equal(describeOutcome(yield* submit(entry, { service: "unknown" })), "noMinion");
        const declared = yield* post(entry, submitPath, `{"body": "${"A".repeat(5_000_000)}"}`);
        assert.equal(declared.status, 400);
        assert.match(declared.text, /exceeds the limit of/);
        const undeclared = yield* submit(entry, { body: new Uint8Array(200_000) });
        assert.equal(describeOutcome(undeclared), "ResourceExhausted");
        assert.equal(minion.listRuns().length, 0);
    })));

void test("an announcement with invalid values is refused, and the minion gets no requests", () =>
    runScoped(Effect.gen(function*() {
        const cluster = yield* createTestCluster;
        const entry = yield* cluster.addEntry("entry-1");
        const valid = {
            minion: "m",
            service: "plume",
            address: "127.0.0.1:9",
            slots: 1,
            connections: 1,
            incarnation: "i",
            sequence: "1",
        };
        const cases = [
            { ...valid, minion: "" },
            { ...valid, address: "example.test:80" },
            { ...valid, address: "127.0.0.1:99999" },
            { ...valid, address: "127.0.0.1" },
            { ...valid, slots: 0 },
            { ...valid, slots: 1_000_000 },
            { ...valid, connections: 0 },
            { ...valid, incarnation: "" },
            { ...valid, sequence: "18446744073709551615" },
            { ...valid, highestEpoch: "18446744073709551615" },
        ];
        for (const body of cases) {
            const answer = yield* post(entry, "chestnutspool.v1.TargetService/Announce", JSON.stringify(body));
            assert.equal(answer.status, 400, JSON.stringify(body));
            assert.match(answer.text, /invalidArgument|invalid_argument/);
        }
        assert.equal(cluster.state.minions.size, 0);
    })));

void test("liveness and readiness are served, and a failed readiness check names its reason", () =>
    runScoped(Effect.gen(function*() {
        const cluster = yield* createTestCluster;
        const entry = yield* cluster.addEntry("entry-1");
        const get = (path: string) =>
            Effect.promise(async () => {
                const response = await fetch(`http://${entry.api.rpcAddress}${path}`, {
                    headers: { connection: "close" },
                });
                return [response.status, await response.text()] as const;
            });
        assert.equal((yield* get("/live"))[0], 200);
        assert.equal((yield* get("/ready"))[0], 200);
        yield* entry.api.drain;
        const [status, text] = yield* get("/ready");
        assert.equal(status, 503);
        assert.match(text, /draining/);
        assert.equal((yield* get("/live"))[0], 200);
    })));
