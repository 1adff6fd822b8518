import { buildAnswer, buildBody } from "@chestnutspool/stand-ins";
import { ConnectError } from "@connectrpc/connect";
import { Effect, Fiber } from "effect";
import assert from "node:assert/strict";
import { test } from "node:test";
import { crc32 } from "node:zlib";
import {
    awaitCondition,
    buildRequest,
    createLastingTestCluster,
    describeOutcome,
    runScoped,
    submit,
    type TestEntry,
} from "./fakes/test-cluster.js";

const buildWork = (key: string, runMs: number, answerBytes = 100) => buildBody({ key, runMs, answerBytes });

void test("each of many callers gets the answer to its own request, and no slot or connection is exceeded", () =>
    runScoped(Effect.gen(function*() {
        const cluster = yield* createLastingTestCluster;
        const entries: TestEntry[] = [];
        for (const id of ["entry-1", "entry-2", "entry-3"]) {
            entries.push(yield* cluster.addEntry(id));
        }
        const minions = [
            yield* cluster.addMinion(entries, { minion: "minion-1", slots: 2, connections: 3 }),
            yield* cluster.addMinion(entries, { minion: "minion-2", slots: 3, connections: 3 }),
        ];
        const requests = Array.from({ length: 120 }, (item, index) => index);
        yield* Effect.forEach(requests, index =>
            Effect.gen(function*() {
                const body = buildWork(`key-${index}`, index % 7, index * 37);
                const requestId = index % 2 === 0 ? `id-${index}` : "";
                const entry = entries[index % entries.length] as TestEntry;
                const outcome = yield* submit(entry, { body, requestId, deadlineMs: 30_000 });
                assert.equal(describeOutcome(outcome), "answered");
                assert.ok(outcome.kind === "answered");
                assert.ok(
                    Buffer.from(buildAnswer(body)).equals(outcome.answer),
                    `answer ${index} belongs to another request`,
                );
            }), { concurrency: 60 });
        const runs = minions.flatMap(minion => minion.listRuns());
        assert.equal(new Set(runs.map(run => run.key)).size, requests.length);
        assert.equal(runs.length, requests.length);
        for (const [index, slots] of [2, 3].entries()) {
            assert.ok((minions[index]?.readHighestRunning() ?? 0) <= slots);
            assert.ok((minions[index]?.readHighestConnections() ?? 0) <= 3);
        }
    })));

void test("a streamed answer arrives complete, with its length and checksum in the last message", () =>
    runScoped(Effect.gen(function*() {
        const cluster = yield* createLastingTestCluster;
        const first = yield* cluster.addEntry("entry-1");
        const second = yield* cluster.addEntry("entry-2");
        yield* cluster.addMinion([first, second], { minion: "minion-1" });
        const body = buildWork("large", 1, 9_000_000);
        for (const entry of [first, second]) {
            const parts: Uint8Array[] = [];
            let end: { readonly lengthBytes: bigint; readonly crc32: number; } | undefined;
            yield* Effect.promise(async () => {
                for await (
                    const { part } of entry.client.submitStream(
                        buildRequest({ body, requestId: "large", deadlineMs: 60_000 }),
                    )
                ) {
                    if (part.case === "data") {
                        parts.push(part.value);
                    }
                    end = part.case === "end" ? part.value : end;
                }
            });
            const answer = Buffer.concat(parts);
            assert.ok(answer.equals(buildAnswer(body)));
            assert.ok(parts.every(part => part.length <= 64 * 1024));
            assert.equal(end?.lengthBytes, 9_000_000n);
            assert.equal(end?.crc32, crc32(answer));
        }
    })));

void test("an answer that is truncated or has no length is an error and never looks complete", () =>
    runScoped(Effect.gen(function*() {
        const cluster = yield* createLastingTestCluster;
        const entry = yield* cluster.addEntry("entry-1");
        const minion = yield* cluster.addMinion([entry], { minion: "minion-1" });
        for (const [fault, kind] of [["dropMidAnswer", "answerTruncated"], ["noLength", "minionFailed"]] as const) {
            minion.setFault(fault);
            assert.equal(describeOutcome(yield* submit(entry, { body: buildWork(fault, 1, 300_000) })), kind);
            yield* Effect.promise(() =>
                assert.rejects(async () => {
                    const request = buildRequest({ body: buildWork(fault, 1, 300_000) });
                    for await (const { part } of entry.client.submitStream(request)) {
                        assert.notEqual(part.case, "end");
                    }
                }, ConnectError)
            );
        }
    })));

void test("a unary answer above the limit is an error that names the stream, and the run is not cut off", () =>
    runScoped(Effect.gen(function*() {
        const cluster = yield* createLastingTestCluster;
        const entry = yield* cluster.addEntry("entry-1", { answerLimitBytes: 1_000 });
        const minion = yield* cluster.addMinion([entry], { minion: "minion-1" });
        assert.equal(describeOutcome(yield* submit(entry, { body: buildWork("fits", 1, 1_000) })), "answered");
        assert.equal(describeOutcome(yield* submit(entry, { body: buildWork("large", 1, 200_000) })), "answerTooLarge");
        assert.deepEqual(minion.listRuns().map(run => run.end), ["completed", "completed"]);
    })));

void test("a run ends when its caller disconnects, and the slot serves the next request", () =>
    runScoped(Effect.gen(function*() {
        const cluster = yield* createLastingTestCluster;
        const entry = yield* cluster.addEntry("entry-1");
        const minion = yield* cluster.addMinion([entry], { minion: "minion-1", slots: 1 });
        const abort = new AbortController();
        yield* Effect.forkChild(
            submit(entry, { body: buildWork("long", 60_000), deadlineMs: 60_000, requestId: "long" }, abort.signal),
        );
        yield* awaitCondition(() => minion.listRunning().length === 1);
        abort.abort();
        yield* awaitCondition(() => minion.listRunning().length === 0);
        assert.equal(minion.listRuns()[0]?.end, "connectionClosed");
        const next = yield* submit(entry, { body: buildWork("next", 1), deadlineMs: 10_000 });
        assert.equal(describeOutcome(next), "answered");
    })));

void test("a resend while the first request runs gets `stillRunning`, and one with another body is refused", () =>
    runScoped(Effect.gen(function*() {
        const cluster = yield* createLastingTestCluster;
        const entries = [yield* cluster.addEntry("entry-1"), yield* cluster.addEntry("entry-2")] as const;
        const minion = yield* cluster.addMinion(entries, { minion: "minion-1" });
        const first = yield* Effect.forkChild(submit(entries[0], { body: buildWork("a", 300), requestId: "a" }));
        yield* awaitCondition(() => minion.listRunning().length === 1);
        assert.equal(
            describeOutcome(yield* submit(entries[1], { body: buildWork("a", 300), requestId: "a" })),
            "stillRunning",
        );
        assert.equal(
            describeOutcome(yield* submit(entries[1], { body: buildWork("b", 300), requestId: "a" })),
            "requestIdReused",
        );
        assert.equal(describeOutcome(yield* Fiber.join(first)), "answered");
        assert.equal(minion.listRuns().length, 1);
    })));

void test("an overload rejects requests of the lowest class at once with a retry-after time", () =>
    runScoped(Effect.gen(function*() {
        const cluster = yield* createLastingTestCluster;
        const entry = yield* cluster.addEntry("entry-1", { queueLimit: 4 });
        const minion = yield* cluster.addMinion([entry], { minion: "minion-1", slots: 1 });
        const outcomes = yield* Effect.forEach(
            Array.from({ length: 12 }, (item, index) => index),
            index =>
                submit(entry, {
                    // Lasts until all requests have arrived, so that no place in the queue becomes free before.
                    body: buildWork(`key-${index}`, 1_500),
                    deadlineMs: 60_000,
                    class: index < 4 ? 1 : 2,
                }),
            { concurrency: "unbounded" },
        );
        const rejected = outcomes.filter(outcome => describeOutcome(outcome) === "queueFull");
        assert.equal(rejected.length, 12 - 5);
        assert.ok(rejected.every(each => each.kind === "failed" && (each.detail?.retryAfterMs ?? 0) > 0));
        assert.ok(rejected.every(each => each.kind === "failed" && each.detail?.notRun === true));
        assert.equal(minion.listRuns().length, 5);
        assert.equal(outcomes.slice(0, 4).filter(outcome => describeOutcome(outcome) !== "answered").length, 0);
    })));

void test("a request that cannot finish by its deadline is answered at once instead of at its deadline", () =>
    runScoped(Effect.gen(function*() {
        const cluster = yield* createLastingTestCluster;
        const entry = yield* cluster.addEntry("entry-1");
        const minion = yield* cluster.addMinion([entry], { minion: "minion-1", slots: 1 });
        yield* submit(entry, { body: buildWork("learn", 400) });
        yield* Effect.forkChild(submit(entry, { body: buildWork("long", 400) }));
        yield* awaitCondition(() => minion.listRunning().length === 1);
        const outcome = yield* submit(entry, { body: buildWork("late", 400), deadlineMs: 500 });
        assert.equal(describeOutcome(outcome), "deadlineTooShort");
        assert.equal(minion.listRunning().length, 1, "the answer came while the other request still ran");
    })));
