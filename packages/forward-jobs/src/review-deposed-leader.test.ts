import { createControlView } from "@chestnutspool/join-cluster";
import { silentLogger } from "@chestnutspool/logger";
import { createMemoryNetwork } from "@chestnutspool/peer-link";
import { createMetrics } from "@chestnutspool/record-metrics";
import type { DirectoryReply, DirectoryRequest, JobReply, JobRequest } from "@chestnutspool/types";
import { Effect } from "effect";
import { TestClock } from "effect/testing";
import assert from "node:assert/strict";
import { test } from "node:test";
import { createForwarder } from "./forwarder.js";

const request: JobRequest = { kind: "readJob", job: "a", hostName: "jobs.example", path: "/main/a" };

// Guards against an election in which each held request calls the deposed leader again every 40 ms: that process is a voter
// and was deposed because it had too much work.
test("a request is not sent again to a leader that has answered that it does not lead", () =>
    Effect.runPromise(
        Effect.scoped(Effect.gen(function*() {
            const network = yield* createMemoryNetwork;
            let isLeading = true;
            let asked = 0;
            const link = yield* network.createLink("a", silentLogger);
            const address = { id: "a", address: "a:1" };
            link.openChannel<DirectoryRequest, DirectoryReply>("directory", {
                handleCall: () => Effect.sync(() => ({ leader: isLeading ? address : undefined, members: [address] })),
            });
            link.openChannel<JobRequest, JobReply>("jobs", {
                handleCall: () =>
                    Effect.sync((): JobReply => {
                        asked += 1;
                        return isLeading
                            ? { kind: "phase", phase: "running" }
                            : { kind: "notLeader", leader: undefined };
                    }),
            });
            const forwarder = createForwarder({
                link: yield* network.createLink("entry", silentLogger),
                view: createControlView([address]),
                findLocalLeader: undefined,
                handleLocally: undefined,
                logger: silentLogger,
                metrics: createMetrics(),
            });
            yield* forwarder.forwardRequest(request, 1_000);
            isLeading = false;
            asked = 0;
            yield* Effect.forkScoped(forwarder.forwardRequest(request, 2_000));
            for (let passedMs = 0; passedMs < 1_000; passedMs += 10) {
                yield* TestClock.adjust(10);
            }
            assert.ok(asked <= 2, `${asked} calls for one request in one second without a leader`);
        })).pipe(Effect.provide(TestClock.layer())),
    ));
