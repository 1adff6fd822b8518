import { ErrorDetailSchema, OperatorService } from "@chestnutspool/schema";
import { Code, ConnectError } from "@connectrpc/connect";
import assert from "node:assert/strict";
import { mkdtempSync, rmSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { test, type TestContext } from "node:test";
import { crc32 } from "node:zlib";
import { commands } from "./commands/index.js";
import { type FakeEntry, startFakeEntry } from "./fakes/fake-entry.js";
import { runCommand } from "./fakes/run-command.js";

function makeError(code: Code, kind: string, retryAfterMs = 0, notRun = false): ConnectError {
    const value = { kind, remedy: "do what the remedy says", retryAfterMs, notRun };
    return new ConnectError(`text of ${kind}`, code, undefined, [{ desc: ErrorDetailSchema, value }]);
}

async function startEntry(context: TestContext, ...handlers: Parameters<typeof startFakeEntry>): Promise<FakeEntry> {
    const entry = await startFakeEntry(...handlers);
    context.after(() => entry.close());
    return entry;
}

async function findClosedAddress(): Promise<string> {
    const entry = await startFakeEntry({});
    await entry.close();
    return entry.address;
}

void test("a resend through another entry host keeps the operator request id", async context => {
    const seen: string[] = [];
    const entryLosingResponse = await startEntry(context, {
        cancelWorks: request => {
            seen.push(request.operatorRequestId);
            throw makeError(Code.Unknown, "outcomeUnknown");
        },
    });
    const answeringEntry = await startEntry(context, {
        cancelWorks: request => {
            seen.push(request.operatorRequestId);
            return { revision: 3n, index: 17n };
        },
    });
    const entries = [
        "--entry",
        await findClosedAddress(),
        "--entry",
        entryLosingResponse.address,
        "--entry",
        answeringEntry.address,
    ];
    const firstRun = await runCommand(["cancel", "forecast", ...entries]);
    assert.deepEqual([firstRun.exitCode, firstRun.errors], [0, ""]);
    assert.match(firstRun.output, /REVISION {2}INDEX\n3 {9}17\n/);
    assert.equal(new Set(seen).size, 1);
    await runCommand(["cancel", "forecast", "--operator-request-id", "007", ...entries]);
    assert.deepEqual(seen.slice(2), ["007", "007"]);
});

void test("a change of members is not resent after an unknown outcome", async context => {
    let calls = 0;
    const entry = await startEntry(context, {
        changeMembers: () => {
            calls += 1;
            throw makeError(Code.Unknown, "outcomeUnknown");
        },
    });
    const run = await runCommand(["members", "remove", "b", "--entry", entry.address]);
    assert.deepEqual([run.exitCode, calls], [5, 1]);
});

void test("each kind of failure has its exit code, and kind, text and remedy are printed", async context => {
    for (
        const [code, exitCode] of [
            [Code.Aborted, 3],
            [Code.AlreadyExists, 3],
            [Code.NotFound, 4],
            [Code.Unavailable, 5],
            [Code.InvalidArgument, 1],
        ] as const
    ) {
        const entry = await startEntry(context, {
            getWork: () => {
                // A retry delay beyond the timeout of the command ends it without a resend.
                throw makeError(code, "someKind", 3_600_000);
            },
        });
        const run = await runCommand(["get", "x", "--entry", entry.address]);
        assert.equal(run.exitCode, exitCode);
        assert.equal(run.errors, "error someKind: text of someKind\nremedy: do what the remedy says\n");
    }
});

void test("a faulty command line exits with 2 and prints the remedy", async () => {
    for (
        const [args, pattern] of [
            [[], /no command is given/],
            [["serv"], /no command "serv"/],
            [["list"], /give --entry/],
            [["list", "--entry", "nowhere"], /HOST:PORT/],
            [["list", "--entry", "127.0.0.1:1", "--output", "xml"], /table or json/],
            [["list", "--entry", "127.0.0.1:1", "--limit", "1001"], /up to 1000/],
            [["list", "--entri", "127.0.0.1:1"], /Unknown option/],
            [["get", "--entry", "127.0.0.1:1"], /missing required args/],
            [["worker", "close", "w", "--entry", "127.0.0.1:1"], /allowed is drain or open/],
            [["zone", "drain", "z", "--entry", "127.0.0.1:1"], /allowed is evacuate or restore/],
            [["members", "add", "x", "--entry", "127.0.0.1:1"], /allowed is add ID/],
            [["config", "set", "a=1", "--entry", "127.0.0.1:1"], /--expected-revision is missing/],
            [["config", "set", "a", "--expected-revision", "0", "--entry", "127.0.0.1:1"], /not KEY=VALUE/],
            [["apply", "/nowhere.json", "--entry", "127.0.0.1:1"], /write one Work or Tenant/],
        ] as const
    ) {
        const run = await runCommand(args);
        assert.equal(run.exitCode, 2, run.errors);
        assert.match(run.errors, pattern);
    }
});

void test("each RPC of OperatorService has a command", async context => {
    const called = new Set<string>();
    const folder = mkdtempSync(join(tmpdir(), "cli-test-"));
    context.after(() => rmSync(folder, { recursive: true }));
    const work = join(folder, "work.json");
    const tenant = join(folder, "tenant.json");
    writeFileSync(work, JSON.stringify({ work: { name: "forecast", job: { tasks: 2, expectedRunMs: 10 } } }));
    writeFileSync(tenant, JSON.stringify({ tenant: { id: "moreno", weight: 2 } }));
    const record = (method: string) => () => {
        called.add(method);
        return {};
    };
    const handlers = Object.fromEntries(
        OperatorService.methods.filter(method => method.methodKind === "unary").map(
            method => [method.localName, record(method.localName)],
        ),
    );
    const entry = await startEntry(context, {
        ...handlers,
        watchEvents: async function*() {
            called.add("watchEvents");
            yield { index: 5n, ordinal: 0, kind: "taskPlaced" };
            yield { index: 5n, ordinal: 1, kind: "taskPlaced" };
            throw makeError(Code.InvalidArgument, "end");
        },
    });
    const lines = [
        ["apply", work],
        ["apply", tenant],
        ["cancel", "forecast"],
        ["get", "forecast"],
        ["list"],
        ["tasks"],
        ["tenants"],
        ["config", "get"],
        ["config", "history"],
        ["config", "set", "a=1", "--expected-revision", "0"],
        ["workers"],
        ["worker", "drain", "w"],
        ["zone", "evacuate", "z"],
        ["minions"],
        ["members"],
        ["members", "promote", "b"],
        ["drain", "e"],
        ["health"],
        ["stats"],
        ["events"],
        ["events", "--follow"],
    ];
    for (const line of lines) {
        for (const output of ["table", "json"]) {
            const run = await runCommand([...line, "--output", output], { CHESTNUTSPOOL_ENTRY: entry.address });
            const expected = line[0] === "health" ? 5 : line[1] === "--follow" ? 1 : 0;
            assert.equal(run.exitCode, expected, `${line.join(" ")}: ${run.errors}`);
            assert.ok(output === "table" || line[1] === "--follow" || JSON.parse(run.output) !== undefined);
        }
    }
    assert.deepEqual([...called].sort(), OperatorService.methods.map(method => method.localName).sort());
});

void test("following events loses none and repeats none when the stream breaks within one index", async context => {
    const all = [[5n, 0], [5n, 1], [6n, 0]] as const;
    let streams = 0;
    const entry = await startEntry(context, {
        watchEvents: async function*({ afterIndex }) {
            streams += 1;
            const rest = all.filter(([index]) => index > afterIndex);
            for (const [index, ordinal] of streams === 1 ? rest.slice(0, 1) : rest) {
                yield { index, ordinal, kind: "taskPlaced" };
            }
            throw streams === 1
                ? makeError(Code.Unavailable, "peerUnavailable")
                : makeError(Code.InvalidArgument, "end");
        },
    });
    const run = await runCommand(["events", "--follow", "--entry", entry.address]);
    const shown = run.output.trim().split("\n").map(line => line.split(" ")[0]);
    assert.deepEqual(shown, ["5.0", "5.1", "6.0"]);
});

void test("a streamed answer without its end, or with another CRC-32, is not printed as the answer", async context => {
    const data = Buffer.from("spool");
    const cases = [
        { end: { lengthBytes: 5n, crc32: crc32(data) }, exitCode: 0 },
        { end: { lengthBytes: 5n, crc32: 1 }, exitCode: 1 },
        { end: undefined, exitCode: 1 },
    ];
    for (const { end, exitCode } of cases) {
        const entry = await startEntry(context, {}, {
            submitStream: async function*() {
                yield { part: { case: "head" as const, value: { status: 200, minion: "m" } } };
                yield { part: { case: "data" as const, value: data } };
                if (end !== undefined) {
                    yield { part: { case: "end" as const, value: end } };
                }
            },
        });
        const run = await runCommand(["submit", "hakata", "stock-check", "--stream", "--entry", entry.address]);
        assert.deepEqual([run.exitCode, run.output], [exitCode, exitCode === 0 ? "spool" : ""]);
    }
});

void test("each command has a help text with an example", () => {
    for (const command of commands) {
        assert.ok(command.examples.length > 0, command.form);
        assert.ok(command.examples.every(example => example.startsWith(command.form.split(" ")[0] ?? "?")));
    }
});
