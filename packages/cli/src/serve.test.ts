import assert from "node:assert/strict";
import { mkdtempSync, readdirSync, rmSync, writeFileSync } from "node:fs";
import { type AddressInfo, createServer } from "node:net";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { test, type TestContext } from "node:test";
import { runCommand } from "./fakes/run-command.js";

function writeSettings(context: TestContext, lines: readonly string[]): string {
    const folder = mkdtempSync(join(tmpdir(), "serve-test-"));
    context.after(() => rmSync(folder, { recursive: true }));
    const file = join(folder, "a.ini");
    const identity = ["[process]", "id=a", "roles=control", "host=a", "region=r", "availability_zone=z"];
    writeFileSync(file, [...identity, `data_folder=${folder}`, "log_level=error", ...lines].join("\n"));
    return file;
}

void test("a failed start exits with 1 and prints the cause and the remedy", async context => {
    const portHolder = createServer();
    await new Promise<void>(resolve => portHolder.listen(0, "127.0.0.1", resolve));
    context.after(() => portHolder.close());
    const { port } = portHolder.address() as AddressInfo;
    const file = writeSettings(context, ["[listen]", `peer_port=${port}`, "[control]", `a=127.0.0.1:${port}`]);
    const run = await runCommand(["serve", "--config", file]);
    assert.equal(run.exitCode, 1);
    assert.match(
        run.errors,
        /^error serviceFailed: .*cannot listen on 127\.0\.0\.1:\d+.*; correct the cause and restart/,
    );
});

void test("serve and check-config print all faults of the settings and exit with 1", async context => {
    const file = writeSettings(context, ["[log]", "heartbeat_ms=0", "[leases]", "session_ttl=1"]);
    for (const args of [["serve", "--config", file], ["check-config", file]]) {
        const run = await runCommand(args);
        assert.equal(run.exitCode, 1);
        assert.match(run.errors, /\[log\] heartbeat_ms is "0"/);
        assert.match(run.errors, /\[leases\] session_ttl is "1"/);
        assert.match(run.errors, /\[control\] a is absent/);
    }
});

void test("dev runs its demonstration, prints the results on the last line and leaves no data folder", async context => {
    const ownFolder = mkdtempSync(join(tmpdir(), "dev-test-"));
    const previous = process.env["TMPDIR"];
    process.env["TMPDIR"] = ownFolder;
    context.after(() => {
        if (previous === undefined) {
            delete process.env["TMPDIR"];
        }
        else {
            process.env["TMPDIR"] = previous;
        }
        rmSync(ownFolder, { recursive: true });
    });
    const run = await runCommand(["dev"]);
    assert.equal(run.exitCode, 0, run.errors);
    const last = run.output.trim().split("\n").at(-1) ?? "";
    assert.match(
        last,
        /^seen: 2 requests answered, 8 batch tasks succeeded, 1 watch evicted and resumed once from checkpoint ash-watch/,
    );
    assert.deepEqual(readdirSync(ownFolder), []);
});
