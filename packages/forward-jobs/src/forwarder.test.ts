import { createControlView } from "@chestnutspool/join-cluster";
import { silentLogger } from "@chestnutspool/logger";
import { createMemoryNetwork } from "@chestnutspool/peer-link";
import { createMetrics } from "@chestnutspool/record-metrics";
import type { ControlAddress, DirectoryReply, DirectoryRequest, JobReply, JobRequest } from "@chestnutspool/types";
import { Effect, Exit, Fiber, type Scope } from "effect";
import { TestClock } from "effect/testing";
import assert from "node:assert/strict";
import { test } from "node:test";
import { createForwarder } from "./forwarder.js";
import { computeRetryMs } from "./leader-contact.js";

const budgetMs = 1_000;
const request: JobRequest = { kind: "readJob", job: "a", hostName: "jobs.example", path: "/main/a" };

function makeAddress(id: string): ControlAddress {
    return { id, address: `${id}:1` };
}

/** Control processes `a` and `b`, one of which is the leader, and an entry process with a forwarder. */
const openSystem = Effect.fnUntraced(function*(answer: (self: string) => Effect.Effect<JobReply>) {
    const network = yield* createMemoryNetwork;
    const state: { leader: string | undefined; named: string | undefined; asked: string[]; searches: number; } = {
        leader: "a",
        /** Process that the others name while there is no leader. */
        named: undefined,
        asked: [],
        searches: 0,
    };
    for (const id of ["a", "b"]) {
        const link = yield* network.createLink(id, silentLogger);
        link.openChannel<DirectoryRequest, DirectoryReply>("directory", {
            handleCall: () =>
                Effect.sync(() => {
                    state.searches += 1;
                    const leader = state.leader ?? (state.named === id ? undefined : state.named);
                    return {
                        leader: leader === undefined ? undefined : makeAddress(leader),
                        members: ["a", "b"].map(makeAddress),
                    };
                }),
        });
        link.openChannel<JobRequest, JobReply>("jobs", {
            handleCall: () =>
                Effect.suspend((): Effect.Effect<JobReply> => {
                    state.asked.push(id);
                    return state.leader === id ? answer(id) : Effect.succeed({ kind: "notLeader", leader: undefined });
                }),
        });
    }
    const link = yield* network.createLink("entry", silentLogger);
    const forwarder = createForwarder({
        link,
        view: createControlView([makeAddress("a")]),
        findLocalLeader: undefined,
        handleLocally: undefined,
        logger: silentLogger,
        metrics: createMetrics(),
    });
    return { network, state, forwarder };
});

function run(effect: Effect.Effect<void, never, Scope.Scope>): Promise<void> {
    return Effect.runPromise(Effect.scoped(effect));
}

const answerPhase = (): Effect.Effect<JobReply> => Effect.succeed({ kind: "phase", phase: "running" });

test("a request reaches the leader, and the next leader after a change", () =>
    run(Effect.gen(function*() {
        const { state, forwarder } = yield* openSystem(answerPhase);
        assert.deepEqual(yield* forwarder.forwardRequest(request, budgetMs), { kind: "phase", phase: "running" });
        state.leader = "b";
        assert.deepEqual(yield* forwarder.forwardRequest(request, budgetMs), { kind: "phase", phase: "running" });
        assert.equal(state.asked.at(-1), "b");
    })));

test("without a leader the reply is noLeader: the request was certainly not carried out", () =>
    run(Effect.gen(function*() {
        const { state, forwarder } = yield* openSystem(answerPhase);
        state.leader = undefined;
        const retryAfterMs = computeRetryMs("a");
        assert.deepEqual(yield* forwarder.forwardRequest(request, 200), { kind: "noLeader", retryAfterMs });
        assert.ok(!forwarder.hasLeader());
    })));

test("a request that got no answer is reported as outcomeUnknown, never as noLeader", () =>
    run(Effect.gen(function*() {
        const { network, state, forwarder } = yield* openSystem(answerPhase);
        yield* forwarder.forwardRequest(request, budgetMs);
        network.setCut("a", "entry", true);
        state.asked.length = 0;
        assert.deepEqual(yield* forwarder.forwardRequest(request, 600), { kind: "outcomeUnknown" });
        assert.ok(state.asked.length > 0);
    })));

test("a request whose answer was lost is retried with the next leader", () =>
    run(Effect.gen(function*() {
        const { network, state, forwarder } = yield* openSystem(answerPhase);
        yield* forwarder.forwardRequest(request, budgetMs);
        network.setCut("a", "entry", true);
        state.leader = "b";
        const reply = yield* forwarder.forwardRequest(request, 2_000);
        assert.deepEqual(reply, { kind: "phase", phase: "running" });
    })));

function makeSubmission(id: string): JobRequest {
    return {
        kind: "submitJob",
        spec: { id, payload: "", steps: [], occurrences: 1, firstAtMs: undefined, intervalMs: 0 },
        hostName: "jobs.example",
        path: `/main/${id}`,
    };
}

/** Step by which simulated time advances, in milliseconds. */
const stepMs = 10;

/** Runs a test in simulated time. */
function runSimulated(effect: Effect.Effect<void, never, Scope.Scope>): Promise<void> {
    return Effect.runPromise(Effect.scoped(effect).pipe(Effect.provide(TestClock.layer())));
}

const pass = Effect.fnUntraced(function*(milliseconds: number) {
    for (let passedMs = 0; passedMs < milliseconds; passedMs += stepMs) {
        yield* TestClock.adjust(stepMs);
    }
});

// Guards against an overload that feeds itself: each repeated request is more work for a leader that is too busy already.
test("a request whose answer is pending at the leader is not sent there again", () =>
    runSimulated(Effect.gen(function*() {
        const { state, forwarder } = yield* openSystem(() => Effect.delay(answerPhase(), 1_500));
        const reply = yield* Effect.forkScoped(forwarder.forwardRequest(request, 2_000));
        yield* pass(1_900);
        assert.deepEqual(state.asked, ["a"]);
        assert.deepEqual(yield* Fiber.join(reply), { kind: "phase", phase: "running" });
    })));

// Guards against waiting for a frozen leader until the deadline although its successor is known.
test("a request pending at a frozen leader goes to the next leader as soon as it is located", () =>
    runSimulated(Effect.gen(function*() {
        const { state, forwarder } = yield* openSystem(self => self === "a" ? Effect.never : answerPhase());
        const reply = yield* Effect.forkScoped(forwarder.forwardRequest(request, 5_000));
        yield* pass(1_000);
        state.leader = "b";
        // One interval of locating and the pause before a retry.
        yield* pass(440);
        assert.deepEqual(reply.pollUnsafe()?._tag, "Success");
        assert.deepEqual(state.asked, ["a", "b"]);
    })));

// Guards against a request that waits for its deadline although the link that carried it has broken.
test("a request is sent again after the call failed", () =>
    runSimulated(Effect.gen(function*() {
        let calls = 0;
        const { state, forwarder } = yield* openSystem(() => {
            calls += 1;
            return calls === 1 ? Effect.die("the handler failed") : answerPhase();
        });
        const reply = yield* Effect.forkScoped(forwarder.forwardRequest(request, 1_000));
        yield* pass(200);
        assert.deepEqual(reply.pollUnsafe()?._tag, "Success");
        assert.deepEqual(state.asked, ["a", "a"]);
    })));

// Guards against searches that grow with the requests that wait, each of which asks every control process.
test("requests that wait at the same time share one search for the leader", () =>
    runSimulated(Effect.gen(function*() {
        const { network, state, forwarder } = yield* openSystem(() => Effect.never);
        ["a", "b"].forEach(id => network.setDelay("entry", id, stepMs));
        yield* Effect.forEach(
            Array.from({ length: 40 }),
            () => Effect.forkScoped(forwarder.forwardRequest(request, 2_000)),
        );
        yield* pass(1_000);
        // One search at the start and two after an attempt timeout, each of which asks two processes.
        assert.ok(state.searches <= 6, `${state.searches} calls`);
    })));

// Guards against callers who wait until their deadline for a leader that answers nothing.
test("while the leader is silent one submission probes it and the others are refused at once as not sent", () =>
    runSimulated(Effect.gen(function*() {
        let isSilent = true;
        const { state, forwarder } = yield* openSystem(() => isSilent ? Effect.never : answerPhase());
        yield* Effect.forkScoped(forwarder.forwardRequest(request, 2_000));
        yield* pass(1_600);
        const probe = yield* Effect.forkScoped(forwarder.forwardRequest(makeSubmission("probe"), 1_000));
        yield* pass(50);
        const sentBefore = state.asked.length;
        const refused = yield* Effect.forkScoped(forwarder.forwardRequest(makeSubmission("b"), 1_000));
        yield* pass(10);
        const exit = refused.pollUnsafe();
        assert.ok(exit !== undefined && Exit.isSuccess(exit) && exit.value.kind === "noLeader");
        assert.equal(state.asked.length, sentBefore);
        yield* pass(1_000);
        assert.deepEqual(yield* Fiber.join(probe), { kind: "outcomeUnknown" });
        isSilent = false;
        // Service comes back by the next submission, which probes the leader, without any other change.
        assert.equal((yield* forwarder.forwardRequest(makeSubmission("c"), 1_000)).kind, "phase");
        assert.equal((yield* forwarder.forwardRequest(makeSubmission("d"), 1_000)).kind, "phase");
    })));

// Guards against holding each submission for a second although the election has not ended for a long time.
test("without a leader for longer than an election a submission is refused at once", () =>
    runSimulated(Effect.gen(function*() {
        const { state, forwarder } = yield* openSystem(answerPhase);
        state.leader = undefined;
        yield* Effect.forkScoped(forwarder.keepLocating);
        yield* pass(500);
        const held = yield* Effect.forkScoped(forwarder.forwardRequest(makeSubmission("a"), 1_000));
        yield* pass(10);
        assert.equal(held.pollUnsafe(), undefined);
        yield* pass(1_500);
        const refused = yield* Effect.forkScoped(forwarder.forwardRequest(makeSubmission("b"), 1_000));
        yield* pass(10);
        const exit = refused.pollUnsafe();
        assert.ok(exit !== undefined && Exit.isSuccess(exit) && exit.value.kind === "noLeader");
        state.leader = "a";
        yield* pass(300);
        assert.equal((yield* forwarder.forwardRequest(makeSubmission("c"), 1_000)).kind, "phase");
    })));

// Guards against memory that grows without bound with the requests that wait for a leader.
test("a process holds a bounded number of requests", () =>
    runSimulated(Effect.gen(function*() {
        const { state, forwarder } = yield* openSystem(() => Effect.never);
        yield* Effect.forEach(
            Array.from({ length: 1_001 }),
            () => Effect.forkScoped(forwarder.forwardRequest(request, 2_000)),
        );
        yield* pass(300);
        assert.equal(state.asked.length, 1_000);
    })));

// Guards against telling a caller that its job never runs although an earlier attempt may have been committed.
test("a refusal after an attempt with an unknown outcome is reported as outcomeUnknown", () =>
    runSimulated(Effect.gen(function*() {
        let calls = 0;
        const { forwarder } = yield* openSystem(() => {
            calls += 1;
            return calls === 1
                ? Effect.die("the handler failed")
                : Effect.succeed({ kind: "rejected", reason: "overloaded", retryAfterMs: 1_000 });
        });
        const reply = yield* Effect.forkScoped(forwarder.forwardRequest(makeSubmission("a"), 1_000));
        yield* pass(200);
        const exit = reply.pollUnsafe();
        assert.ok(exit !== undefined && Exit.isSuccess(exit));
        assert.deepEqual(exit.value, { kind: "outcomeUnknown" });
        assert.equal((yield* forwarder.forwardRequest(makeSubmission("b"), 1_000)).kind, "rejected");
    })));

function makeHeartbeat(sequence: number, draining = false, address = "w1:1"): JobRequest {
    const worker = {
        id: "w1",
        address,
        service: "pool",
        availabilityZone: "z",
        capacity: { milliCpu: 1_000, memoryMib: 1_000, accelerators: 0 },
        labels: [],
    };
    return {
        kind: "recordHeartbeat",
        heartbeat: { worker, draining, remainingMs: undefined, sequence, clockMs: undefined },
    };
}

// Guards against a leader that handles each heartbeat of a large fleet although most of them change nothing, and against an
// acknowledgement of draining or of a change that the leader has not received.
test("only a heartbeat that repeats an acknowledged one does not reach the leader", () =>
    runSimulated(Effect.gen(function*() {
        const { state, forwarder } = yield* openSystem(() => Effect.succeed({ kind: "done" }));
        const send = Effect.fnUntraced(function*(heartbeat: JobRequest) {
            const before = state.asked.length;
            const reply = yield* Effect.forkScoped(forwarder.forwardRequest(heartbeat, 900));
            yield* pass(200);
            assert.deepEqual(yield* Fiber.join(reply), { kind: "done" });
            return state.asked.length - before;
        });
        assert.equal(yield* send(makeHeartbeat(1)), 1);
        yield* pass(800);
        assert.equal(yield* send(makeHeartbeat(2)), 0);
        assert.equal(yield* send(makeHeartbeat(3, false, "w1:2")), 1);
        assert.equal(yield* send(makeHeartbeat(4, true, "w1:2")), 1);
        assert.equal(yield* send(makeHeartbeat(5, true, "w1:2")), 1);
        assert.equal(yield* send(makeHeartbeat(6, false, "w1:2")), 1);
        yield* pass(2_500);
        assert.equal(yield* send(makeHeartbeat(7, false, "w1:2")), 1);
        assert.equal(yield* send(makeHeartbeat(8, false, "w1:2")), 0);
        state.leader = "b";
        yield* Effect.forkScoped(forwarder.forwardRequest(request, 900));
        yield* pass(200);
        assert.equal(yield* send(makeHeartbeat(9, false, "w1:2")), 1);
        assert.equal(state.asked.at(-1), "b");
        yield* Effect.forkScoped(forwarder.forwardRequest({ kind: "removeWorker", worker: "w1" }, 900));
        yield* pass(200);
        assert.equal(yield* send(makeHeartbeat(10, false, "w1:2")), 1);
    })));

// Guards against a leader that keeps a capacity which another process told it meanwhile, because this one takes the heartbeat for
// a repetition.
test("a heartbeat after one that was sent to another process reaches the leader", () =>
    runSimulated(Effect.gen(function*() {
        const { state, forwarder } = yield* openSystem(() => Effect.succeed({ kind: "done" }));
        for (const [sequence, asked] of [[1, 1], [2, 1], [4, 2], [5, 2]] as const) {
            yield* Effect.forkScoped(forwarder.forwardRequest(makeHeartbeat(sequence), 900));
            yield* pass(200);
            assert.equal(state.asked.length, asked, `heartbeat ${sequence}`);
        }
    })));

for (const [named, suffix] of [[undefined, ""], ["a", " although its followers still name it"]] as const) {
    // Guards against an election in which each held request calls the deposed leader again every 40 ms: that process is a
    // voter and was deposed because it had too much work.
    test(`a request is not sent again to a leader that has answered that it does not lead${suffix}`, () =>
        runSimulated(Effect.gen(function*() {
            const { state, forwarder } = yield* openSystem(answerPhase);
            yield* forwarder.forwardRequest(request, 1_000);
            Object.assign(state, { leader: undefined, named });
            state.asked.length = 0;
            yield* Effect.forkScoped(forwarder.forwardRequest(request, 2_000));
            yield* pass(1_000);
            assert.ok(state.asked.length <= 2, `${state.asked.length} calls in one second without a leader`);
        })));

    // Guards against submissions that are held for a second each because a deposed leader still counts as known.
    test(`a submission is refused at once when the deposed leader has been without successor for 1.5 s${suffix}`, () =>
        runSimulated(Effect.gen(function*() {
            const { state, forwarder } = yield* openSystem(answerPhase);
            yield* Effect.forkScoped(forwarder.keepLocating);
            yield* forwarder.forwardRequest(request, 1_000);
            Object.assign(state, { leader: undefined, named });
            // Requests that are held all the time, as those of a loaded entry host.
            yield* Effect.forkScoped(forwarder.forwardRequest(request, 4_000));
            yield* pass(2_000);
            const refused = yield* Effect.forkScoped(forwarder.forwardRequest(makeSubmission("b"), 1_000));
            yield* pass(10);
            const exit = refused.pollUnsafe();
            assert.ok(exit !== undefined && Exit.isSuccess(exit) && exit.value.kind === "noLeader");
        })));
}
