import { buildAnswer, buildBody } from "@chestnutspool/stand-ins";
import { Effect, Fiber } from "effect";
import assert from "node:assert/strict";
import { test } from "node:test";
import {
    awaitCondition,
    createTestCluster,
    createTestClusterWith,
    describeOutcome,
    runScoped,
    submit,
    type TestEntry,
} from "./fakes/test-cluster.js";

const buildRecordedRequest = (key: string, runMs: number, answerBytes = 100) => ({
    body: buildBody({ key, runMs, answerBytes }),
    requestId: key,
    idempotent: false,
});

/** Resends a request while it is reported as still running, which includes that its outcome is not recorded yet. */
const resend = (entry: TestEntry, request: ReturnType<typeof buildRecordedRequest>): Effect.Effect<string> =>
    Effect.gen(function*() {
        while (true) {
            const outcome = describeOutcome(yield* submit(entry, request));
            if (outcome !== "stillRunning") {
                return outcome;
            }
            yield* Effect.sleep(20);
        }
    });

void test("a resend of a recorded request gets the first answer through any host, and the request runs once", () =>
    runScoped(Effect.gen(function*() {
        const cluster = yield* createTestCluster;
        const entries = [yield* cluster.addEntry("entry-1"), yield* cluster.addEntry("entry-2")] as const;
        const minion = yield* cluster.addMinion(entries, { minion: "minion-1" });
        const request = buildRecordedRequest("booking", 20);
        for (const entry of [...entries, ...entries]) {
            const outcome = yield* submit(entry, request);
            assert.ok(outcome.kind === "answered");
            assert.ok(Buffer.from(buildAnswer(request.body)).equals(outcome.answer));
        }
        const other = yield* submit(entries[0], { ...buildRecordedRequest("other", 20), requestId: "booking" });
        assert.equal(describeOutcome(other), "requestIdReused");
        const large = buildRecordedRequest("large", 1, 70_000);
        assert.equal(describeOutcome(yield* submit(entries[0], large)), "answered");
        assert.equal(describeOutcome(yield* submit(entries[1], large)), "answerNotKept");
        assert.deepEqual(minion.listRuns().map(run => run.key), ["booking", "large"]);
    })));

void test("a recorded request whose caller disconnects runs to its end, and a resend gets the outcome", () =>
    runScoped(Effect.gen(function*() {
        const cluster = yield* createTestCluster;
        const entry = yield* cluster.addEntry("entry-1");
        const minion = yield* cluster.addMinion([entry], { minion: "minion-1" });
        const request = buildRecordedRequest("booking", 200);
        const abort = new AbortController();
        yield* Effect.forkChild(submit(entry, request, abort.signal));
        yield* awaitCondition(() => minion.listRunning().length === 1);
        abort.abort();
        assert.equal(describeOutcome(yield* submit(entry, request)), "stillRunning");
        yield* awaitCondition(() => minion.listRunning().length === 0);
        assert.equal(yield* resend(entry, request), "answered");
        assert.deepEqual(minion.listRuns().map(run => run.end), ["completed"]);
    })));

void test("a recorded request that was sent and missed its deadline is not reported as not run", () =>
    runScoped(Effect.gen(function*() {
        const cluster = yield* createTestCluster;
        const entry = yield* cluster.addEntry("entry-1");
        const minion = yield* cluster.addMinion([entry], { minion: "minion-1" });
        const request = { ...buildRecordedRequest("booking", 300), deadlineMs: 100 };
        const outcome = yield* submit(entry, request);
        assert.ok(outcome.kind === "failed" && outcome.detail?.kind === "deadlineExceeded" && !outcome.detail.notRun);
        yield* awaitCondition(() => minion.listRunning().length === 0);
        assert.equal(yield* resend(entry, request), "answered");
    })));

void test("a recorded request whose attempt was cut off is not run again, neither by a retry nor by a resend", () =>
    runScoped(Effect.gen(function*() {
        const cluster = yield* createTestCluster;
        const entry = yield* cluster.addEntry("entry-1");
        // A short run lease leaves time for a retry within the deadline, which must not be used.
        yield* cluster.addService(entry, 50);
        const minions = [
            yield* cluster.addMinion([entry], { minion: "minion-1" }),
            yield* cluster.addMinion([entry], { minion: "minion-2" }),
        ];
        for (const minion of minions) {
            minion.setFault("dropBeforeAnswer");
        }
        const request = buildRecordedRequest("booking", 5);
        assert.equal(describeOutcome(yield* submit(entry, request)), "outcomeUnknown");
        for (const minion of minions) {
            minion.setFault("none");
        }
        yield* Effect.sleep(500);
        assert.equal(yield* resend(entry, request), "outcomeUnknown");
        assert.equal(minions.flatMap(minion => minion.listRuns()).length, 1);
    })));

void test("a recorded request that no minion started is reported as not run, and may run under its id afterwards", () =>
    runScoped(Effect.gen(function*() {
        const cluster = yield* createTestCluster;
        const entry = yield* cluster.addEntry("entry-1");
        const minion = yield* cluster.addMinion([entry], { minion: "minion-1" });
        minion.setFault("refuse");
        const request = buildRecordedRequest("booking", 5);
        const outcome = yield* submit(entry, request);
        assert.ok(outcome.kind === "failed" && outcome.detail?.notRun === true);
        assert.equal(minion.listRuns().length, 0);
        minion.setFault("none");
        assert.equal(yield* resend(entry, request), "answered");
        assert.equal(minion.listRuns().length, 1);
    })));

// Guards against an id under which a request that was not run can never run.
void test("a recorded request whose begin was answered too late is not run, and may run under its id afterwards", () =>
    runScoped(Effect.gen(function*() {
        const cluster = yield* createTestClusterWith({ sessionTtlMs: 10_000 });
        const entry = yield* cluster.addEntry("entry-1");
        const minion = yield* cluster.addMinion([entry], { minion: "minion-1" });
        const request = buildRecordedRequest("booking", 5);
        // The reply to the first call of control is lost; the call is repeated at the deadline.
        cluster.network.setCut("control", "entry-1", true);
        const first = yield* Effect.forkChild(submit(entry, { ...request, deadlineMs: 1_000 }));
        yield* awaitCondition(() => cluster.state.requests.size > 0);
        yield* Effect.sleep(50);
        cluster.network.setCut("control", "entry-1", false);
        const outcome = yield* Fiber.join(first);
        assert.ok(outcome.kind === "failed" && outcome.detail?.notRun === true, JSON.stringify(outcome));
        assert.equal(minion.listRuns().length, 0);
        assert.equal(yield* resend(entry, request), "answered");
        assert.equal(minion.listRuns().length, 1);
    })));

void test("without a leader a recorded request is not run, nor reported as not run: it may have run before", () =>
    runScoped(Effect.gen(function*() {
        const cluster = yield* createTestCluster;
        const entry = yield* cluster.addEntry("entry-1");
        const minion = yield* cluster.addMinion([entry], { minion: "minion-1" });
        cluster.network.setCut("entry-1", "control", true);
        const outcome = yield* submit(entry, { ...buildRecordedRequest("booking", 5), deadlineMs: 300 });
        assert.ok(outcome.kind === "failed" && outcome.detail?.notRun === false);
        yield* awaitCondition(() => !entry.api.readHealth().ready);
        const late = yield* submit(entry, buildRecordedRequest("booking", 5));
        assert.ok(late.kind === "failed" && late.detail?.kind === "outcomeUnknown");
        const repeatable = yield* submit(entry, { body: Buffer.from("x") });
        assert.ok(repeatable.kind === "failed" && repeatable.detail?.notRun === true);
        assert.equal(minion.listRuns().length, 0);
    })));
