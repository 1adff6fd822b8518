import { makeJob, makeQueue } from "@chestnutspool/job-state/fakes";
import assert from "node:assert/strict";
import { test } from "node:test";
import { decideAdmission } from "./decide-admission.js";
import { createThroughput } from "./throughput.js";

// Guards against refusing jobs on a quiet day because one commit takes some time: each worker has about one command in
// progress, so that 342 workers exceed the limit of the third priority and the 1,300 of the design size that of all.
test("one command of each worker in progress refuses nothing", () => {
    for (const workers of [342, 1_300]) {
        for (const priority of [0, 1, 2]) {
            const { cause } = decideAdmission(
                makeJob("a"),
                makeQueue({ priority }),
                {
                    backlog: [],
                    throughput: createThroughput(),
                    busyness: { delayMs: 0, waitingCommits: workers },
                    priorities: [0, 1, 2],
                    workers,
                },
                100_000,
                1_000_000,
            );
            assert.equal(cause, undefined, `${workers} workers, priority ${priority}`);
        }
    }
});

// Guards against a limit that grows with the workers but never applies: commands of jobs wait beside those of the workers.
test("commands beyond one of each worker refuse the least urgent queue first", () => {
    const refuses = (waitingCommits: number, priority: number): boolean =>
        decideAdmission(
            makeJob("a"),
            makeQueue({ priority }),
            {
                backlog: [],
                throughput: createThroughput(),
                busyness: { delayMs: 0, waitingCommits },
                priorities: [0, 1, 2],
                workers: 1_300,
            },
            100_000,
            1_000_000,
        ).cause === "leaderBusy";
    assert.deepEqual([0, 1, 2].map(priority => refuses(1_700, priority)), [false, false, true]);
    assert.deepEqual([0, 1, 2].map(priority => refuses(2_300, priority)), [true, true, true]);
});
