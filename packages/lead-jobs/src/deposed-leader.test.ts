import { makeJob } from "@chestnutspool/job-state/fakes";
import type { JobRequest } from "@chestnutspool/types";
import { Effect } from "effect";
import { TestClock } from "effect/testing";
import assert from "node:assert/strict";
import { test } from "node:test";
import { makeWorker, startTestSystem } from "./fakes/index.js";

const target = { hostName: "jobs.example", path: "/main/a" };
/** Requests that a leader without the job or the queue denies. */
const deniedRequests: readonly JobRequest[] = [
    { kind: "readJob", job: "a", ...target },
    { kind: "cancelJob", job: "a", ...target },
    { kind: "countPending", hostName: "other.example", path: "/main/" },
    { kind: "submitJob", spec: makeJob("b"), hostName: "other.example", path: "/main/b" },
    { kind: "readWave", wave: 1 },
];

// Guards against a process that was suspended for some seconds and answers, before it learns that another one leads, that a
// job does not exist which that one has accepted.
test("a leader that does not know that it was deposed denies nothing", () =>
    Effect.runPromise(
        Effect.scoped(Effect.gen(function*() {
            const system = yield* startTestSystem;
            yield* system.addWorker(makeWorker("w1"));
            yield* system.pass(100);
            for (const request of deniedRequests) {
                assert.notEqual((yield* system.askReplica("a", request)).kind, "notLeader", request.kind);
            }
            system.log.setLeaderUnnoticed("b");
            yield* system.pass(100);
            for (const request of deniedRequests) {
                assert.equal((yield* system.askReplica("a", request)).kind, "notLeader", request.kind);
                assert.notEqual((yield* system.askReplica("b", request)).kind, "notLeader", request.kind);
            }
        })).pipe(Effect.provide(TestClock.layer())),
    ));
