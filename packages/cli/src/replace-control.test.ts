import { OperatorService } from "@chestnutspool/schema";
import { createClient } from "@connectrpc/connect";
import assert from "node:assert/strict";
import { test } from "node:test";
import { createEntryTransport } from "./call-entry.js";
import { awaitCondition } from "./fakes/await-condition.js";
import { startProcessGroup, type TestProcess } from "./fakes/process-group.js";
import { type CommandRun, runCommand } from "./fakes/run-command.js";

function readReplicaIdentity(started: TestProcess): string {
    const lines = started.readLog().split("\n").filter(line => line.includes("process started"));
    const last = JSON.parse(lines.at(-1) ?? "{}") as { replicaIdentity?: string; };
    assert.ok(last.replicaIdentity !== undefined);
    return last.replicaIdentity;
}

// Checks the procedure of docs/replacing-a-control-host.md, and that a second host may fail right after the replacement.
void test("a control host with an empty disk is replaced as documented, and then another one may fail", async context => {
    const group = await startProcessGroup({ controls: 3, entries: 1 });
    context.after(() => group.close());
    const [entry] = group.entries;
    const [, lost, nextLost] = group.controls;
    assert.ok(entry !== undefined && lost !== undefined && nextLost !== undefined);
    const run = (...args: readonly string[]): Promise<CommandRun> =>
        runCommand([...args, "--timeout-ms", "60000"], { CHESTNUTSPOOL_ENTRY: entry.rpcAddress });
    const runSuccessfully = async (...args: readonly string[]): Promise<void> => {
        const { exitCode, errors } = await run(...args);
        assert.equal(exitCode, 0, `${args.join(" ")}: ${errors}`);
        context.diagnostic(args.join(" "));
    };
    const listMembers = () => createClient(OperatorService, createEntryTransport(entry.rpcAddress)).listMembers({});

    await runSuccessfully("config", "set", "a=1", "--expected-revision", "0");
    await lost.kill();
    group.removeStoredData(lost.id);
    await runSuccessfully("members", "remove", lost.id);
    const replacement = await group.restart(lost.id);
    const identity = readReplicaIdentity(replacement);
    assert.ok(!(await listMembers()).members.some(member => member.id === lost.id), "an empty disk does not vote");
    await runSuccessfully("members", "add", lost.id, lost.peerAddress, identity);
    await awaitCondition("promotion", async () => (await run("members", "promote", lost.id)).exitCode === 0);
    const { members } = await listMembers();
    assert.deepEqual(members.map(member => member.votes), [true, true, true]);
    assert.equal(members.find(member => member.id === lost.id)?.replicaIdentity, identity);
    await nextLost.kill();
    await runSuccessfully("config", "set", "a=2", "--expected-revision", "1");
    await runSuccessfully("members");
});
