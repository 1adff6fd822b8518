import { OperatorService } from "@chestnutspool/schema";
import { createClient } from "@connectrpc/connect";
import assert from "node:assert/strict";
import { mkdtempSync, rmSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import type { TestContext } from "node:test";
import { createEntryTransport } from "../call-entry.js";
import { awaitCondition } from "./await-condition.js";
import { type ProcessGroup, startProcessGroup, type TestProcess } from "./process-group.js";
import { runCommand } from "./run-command.js";
import { startTestTargets, type TestTargets } from "./test-targets.js";

/** Service of the minions. */
export const service = "plume-check";
const minionCount = 4;
const workerCount = 3;

/** Longest run of a request, unless a test needs another one. */
const defaultMaxRunMs = 2000;

/**
 * Settings under which a pause of some seconds, such as beside other work on the machine, ends no session of an entry host
 * and silences no minion. Requests are sent under the condition that none is refused for such a pause.
 */
export const pauseTolerantLeases = "session_ttl_ms=30000\nminion_silence_ms=30000";
/** Longest run of a request under the condition that no pause of some seconds cuts it off; below the deadline of requests. */
export const pauseTolerantRunMs = 20_000;

/** Processes with stand-in minions and workers. */
export interface System {
    readonly group: ProcessGroup;
    readonly targets: TestTargets;
    readonly environment: Readonly<Record<string, string>>;
    readonly folder: string;
}

/** Applies a work or tenant with the `apply` command. */
export async function applyObject(system: Omit<System, "targets">, value: unknown): Promise<void> {
    const file = join(system.folder, "object.json");
    writeFileSync(file, JSON.stringify(value));
    const run = await runCommand(["apply", file, "--timeout-ms", "60000"], system.environment);
    assert.equal(run.exitCode, 0, run.errors);
}

/** Starts 3 control and 2 entry processes with minions and workers, and waits until all are known and ready. */
export async function startSystem(
    context: TestContext,
    extraSettings: string,
    maxRunMs: number = defaultMaxRunMs,
): Promise<System> {
    const group = await startProcessGroup({ controls: 3, entries: 2, extraSettings });
    context.after(() => group.close());
    const folder = mkdtempSync(join(tmpdir(), "processes-test-"));
    context.after(() => rmSync(folder, { recursive: true }));
    const addresses = group.entries.map(entry => entry.rpcAddress);
    const environment = { CHESTNUTSPOOL_ENTRY: addresses.join(",") };
    const quota = { milliCpu: 24_000, memoryMib: 49_152 };
    await applyObject({ group, environment, folder }, { tenant: { id: "moreno", quota } });
    await applyObject({ group, environment, folder }, {
        work: {
            name: service,
            tenant: "moreno",
            resources: { milliCpu: 1000, memoryMib: 512 },
            service: { maxRunMs },
        },
    });
    const targets = await startTestTargets(addresses, service, minionCount, workerCount);
    context.after(() => targets.close());
    for (const [list, count] of [["minions", minionCount], ["workers", workerCount]] as const) {
        await awaitCondition(`${count} ${list}`, async () => {
            const run = await runCommand([list], environment);
            return run.output.trim().split("\n").length === count + 1;
        });
    }
    for (const entry of group.entries) {
        await awaitCondition(
            `${entry.id} is ready`,
            async () => (await runCommand(["health", "--entry", entry.rpcAddress])).exitCode === 0,
        );
    }
    return { group, targets, environment, folder };
}

/** Waits for a control leader and returns its process. */
export async function findLeader(system: System): Promise<TestProcess> {
    let leader: TestProcess | undefined;
    await awaitCondition("a leader", async () => {
        const client = createClient(OperatorService, createEntryTransport(system.group.entries[0]?.rpcAddress ?? ""));
        const members = await client.listMembers({}).then(response => response.members, () => []);
        const id = members.find(member => member.leader)?.id;
        leader = system.group.controls.find(control => control.id === id && !control.hasExited());
        return leader !== undefined;
    });
    assert.ok(leader !== undefined);
    return leader;
}
