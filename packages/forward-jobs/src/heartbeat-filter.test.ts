import type { WorkerHeartbeat, WorkerInfo } from "@chestnutspool/types";
import assert from "node:assert/strict";
import { test } from "node:test";
import { acceptRepeatedHeartbeat, type HeartbeatFilter, recordAcknowledged } from "./heartbeat-filter.js";

const worker: WorkerInfo = {
    id: "w1",
    address: "127.0.0.1:1",
    service: "pool",
    availabilityZone: "z",
    capacity: { milliCpu: 4_000, memoryMib: 1_000, accelerators: 0 },
    labels: [],
};

function makeHeartbeat(sequence: number, coldRemainingMs: number | undefined): WorkerHeartbeat {
    return { worker, draining: false, remainingMs: undefined, sequence, clockMs: undefined, coldRemainingMs };
}

// Guards against a leader that does not learn that a worker has become cold or warm.
test("a heartbeat reaches the leader if the worker has become cold or warm, and not while it stays so", () => {
    for (
        const [before, after, isAccepted] of [[0, 900, false], [900, 0, false], [900, 400, true], [
            undefined,
            0,
            true,
        ]] as const
    ) {
        const filter: HeartbeatFilter = new Map();
        recordAcknowledged(filter, makeHeartbeat(1, before), "leader", 1_000);
        const accepted = acceptRepeatedHeartbeat(filter, makeHeartbeat(2, after), "leader", 2_000);
        assert.equal(accepted, isAccepted, `${before} to ${after}`);
    }
});
