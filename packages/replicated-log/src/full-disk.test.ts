import { Effect, Exit } from "effect";
import { TestClock } from "effect/testing";
import assert from "node:assert/strict";
import { test } from "node:test";
import {
    getLog,
    proposeAll,
    runTest,
    settle,
    splitRoles,
    startCluster,
    type TestCluster,
    type TestReplica,
} from "./fakes/test-cluster.js";

const size = 5;
/** Bytes that a full disk still takes, so that the write that fails leaves a part of its record. */
const partOfRecordBytes = 10;

/** Fills the disk of a replica while a command is proposed, and frees it again. */
const fillDiskOnce = Effect.fnUntraced(function*(cluster: TestCluster, replica: TestReplica, command: string) {
    replica.memoryDisk.setFreeBytes(partOfRecordBytes);
    const exit = yield* settle(getLog(splitRoles(cluster).leader).proposeCommand(command));
    replica.memoryDisk.setFreeBytes(Number.POSITIVE_INFINITY);
    yield* TestClock.adjust(3_000);
    return exit;
});

// Guards against a cluster without a leader after disks were full for a while one after the other, never two at once: each
// stopped its replica until the process was restarted.
void test("replicas whose disks were full one after the other take part again", () =>
    runTest(Effect.gen(function*() {
        const cluster = yield* startCluster(size);
        const acknowledged: string[] = [];
        for (const replica of cluster.replicas) {
            const command = `while ${replica.id} is full`;
            if (Exit.isSuccess(yield* fillDiskOnce(cluster, replica, command))) {
                acknowledged.push(command);
            }
        }
        yield* proposeAll(splitRoles(cluster).leader, ["last"]);
        for (const replica of cluster.replicas) {
            const commands = replica.machine.listCommands();
            assert.equal(commands.at(-1), "last", `replica ${replica.id} does not follow`);
            assert.deepEqual(acknowledged.filter(command => !commands.includes(command)), []);
        }
    })));
