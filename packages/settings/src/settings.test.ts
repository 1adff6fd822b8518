import fc from "fast-check";
import assert from "node:assert/strict";
import { readdirSync, readFileSync } from "node:fs";
import { join } from "node:path";
import { test } from "node:test";
import { describeRule, getUnit, loadSettings, parseSettings, settingKeys } from "./index.js";

const root = join(import.meta.dirname, "../../..");
const seed = 7411;

const valid = [
    "[process]",
    "id=a",
    "roles=control, entry",
    "host=host-a",
    "region=cuyo",
    "availability_zone=cuyo-a",
    "data_folder=/tmp/a",
    "[listen]",
    "peer_port=1001",
    "[control]",
    "a=127.0.0.1:1001",
    "b=127.0.0.1:1002",
    "c=127.0.0.1:1003",
].join("\n");

function listFaults(text: string): readonly string[] {
    return parseSettings(text, "x.ini").caseOf({
        Left: error => error.kind === "invalidSettings" ? error.faults : [error.kind],
        Right: () => [],
    });
}

function checkFault(text: string, pattern: RegExp): void {
    const faults = listFaults(text);
    assert.equal(faults.length, 1, faults.join("\n"));
    assert.match(faults[0] ?? "", pattern);
}

void test("the defaults are the values in the design page", () => {
    const settings = parseSettings(valid, "x.ini").unsafeCoerce();
    assert.deepEqual(settings.log, {
        electionTimeoutMinMs: 600,
        electionTimeoutMaxMs: 1200,
        heartbeatMs: 100,
        snapshotEveryEntries: 10_000,
    });
    assert.deepEqual(settings.leases, {
        sessionTtlMs: 3000,
        sessionRenewMs: 500,
        sessionMarginMs: 250,
        workerLeaseMs: 10_000,
        workerMarginMs: 1000,
        clockDriftPercent: 1,
        syncHoldMs: 3000,
        minionSilenceMs: 3000,
    });
    assert.deepEqual(settings.requests, {
        queueLimit: 256,
        bodyLimitBytes: 4_194_304,
        answerLimitBytes: 4_194_304,
        streamLimitBytes: 67_108_864,
        retryBudgetPercent: 10,
        retryMinPerSecond: 3,
        freeSlotsIntervalMs: 100,
        drainLimitMs: 60_000,
    });
    assert.deepEqual(settings.placement, {
        intervalMs: 50,
        tailLatencyWeight: 1,
        batchThroughputWeight: 1,
        evictionWeight: 1,
        evictionsPerMinute: 10,
        highUsePercent: 85,
    });
    assert.deepEqual(settings.process.roles, ["control", "entry"]);
    assert.equal(settings.controlPeers.length, 3);
});

void test("each invalid relation between keys is reported as one fault with its remedy", () => {
    checkFault(
        `${valid}\n[log]\nheartbeat_ms=300`,
        /^x\.ini: \[log\] heartbeat_ms is "300"; allowed is less than half/,
    );
    checkFault(`${valid}\n[log]\nelection_timeout_max_ms=600`, /election_timeout_max_ms is "600"; .*; raise it/);
    checkFault(`${valid}\n[leases]\nsession_renew_ms=1000`, /session_renew_ms is "1000"; allowed is less than a third/);
    checkFault(`${valid}\n[leases]\nsync_hold_ms=5000`, /sync_hold_ms is "5000"/);
    checkFault(`${valid}\n[requests]\nstream_limit_bytes=2048`, /answer_limit_bytes is "4194304"/);
    checkFault(valid.replace("data_folder=/tmp/a", ""), /data_folder is absent; .* local disk/);
    checkFault(valid.replace("id=a", "id=d"), /\[control\] d is absent/);
    checkFault(
        valid.replace("roles=control, entry", "roles=entry"),
        /\[control\] a is "127.0.0.1:1001"; allowed is only/,
    );
    checkFault(valid.replace("a=127.0.0.1:1001", "a=127.0.0.1:1009"), /make peer_host and peer_port agree/);
    checkFault(valid.replace("c=127.0.0.1:1003", "c=127.0.0.1:1002"), /allowed is an address other than that of b/);
    checkFault(valid.replace("c=127.0.0.1:1003", ""), /\[control\] is "2 replicas"/);
    checkFault(
        `${valid}\nc=127.0.0.1:1004`,
        /\[control\] c is "127.0.0.1:1003" and "127.0.0.1:1004"; allowed is one/,
    );
});

void test("no invalid line, section or key is ignored silently", () => {
    checkFault(`stray=1\n${valid}`, /stray is "outside of a section"/);
    checkFault(`${valid}\n[leases]\nsession_ttl=3000`, /\[leases\] session_ttl is "3000"; .* unknown/);
    checkFault(`${valid}\n[lease]\nsession_ttl_ms=3000`, /\[lease\] is "an unknown section"/);
    checkFault(`${valid}\n__proto__=1`, /line 14 is "__proto__=1"/);
    checkFault(`${valid}\n=1`, /line 14 is "=1"/);
    checkFault(`${valid}\nd`, /line 14 is "d"/);
    checkFault(`${valid}\n[log]\nheartbeat_ms`, /line 15 is "heartbeat_ms"/);
    checkFault(
        `${valid}\n[log]\nheartbeat_ms=50\nheartbeat_ms=60`,
        /heartbeat_ms is "50" and "60"; allowed is one value/,
    );
    checkFault(`${valid}\n[listen]\nrpc_port=0x50`, /rpc_port is "0x50"/);
    checkFault(`${valid}\n[listen]\nrpc_host=localhost`, /rpc_host is "localhost"; allowed is an IP number/);
});

void test("all faults are reported, each with its file, section, key and value", () => {
    const bounded = settingKeys.flatMap(({ section, key, rule }) =>
        rule.kind === "integer" || rule.kind === "number" ? [{ section, key, rule }] : []
    );
    const broken = fc.uniqueArray(fc.constantFrom(...bounded), { minLength: 1, selector: entry => entry.key });
    fc.assert(
        fc.property(broken, fc.boolean(), (entries, above) => {
            const seen = (entry: typeof entries[number]): string => above ? String(entry.rule.max + 1) : "-1";
            const lines = entries.map(entry => `[${entry.section}]\n${entry.key}=${seen(entry)}`);
            const faults = listFaults([valid.replace("peer_port=1001", ""), "[listen]", ...lines].join("\n"));
            for (const entry of entries) {
                const start = `x.ini: [${entry.section}] ${entry.key} is "${seen(entry)}"; allowed is ${
                    describeRule(entry.rule)
                }; `;
                assert.equal(faults.filter(fault => fault.startsWith(start)).length, 1, faults.join("\n"));
            }
        }),
        { seed, numRuns: 200 },
    );
});

void test("any text gives settings or faults, never an exception", () => {
    const line = fc.oneof(
        fc.string(),
        fc.constantFrom(...valid.split("\n"), "[process", "process=1", "[]", "a[]=1", "__proto__=2", "[a.b]"),
    );
    fc.assert(
        fc.property(fc.array(line), lines => {
            const result = parseSettings(lines.join("\n"), "x.ini");
            assert.ok(result.isRight() || result.extract() !== undefined);
        }),
        { seed, numRuns: 2000 },
    );
});

void test("a file that cannot be read is reported as `storageFailed`", () => {
    const result = loadSettings(join(root, "examples/absent.ini"));
    assert.equal(result.swap().map(error => error.kind).extract(), "storageFailed");
});

void test("the sample files are valid and agree with each other", () => {
    for (const user of ["moreno-hermanos", "hakata"]) {
        const folder = join(root, "examples", user);
        const all = readdirSync(folder).map(name =>
            loadSettings(join(folder, name)).mapLeft(error => JSON.stringify(error)).unsafeCoerce()
        );
        const controlIds = all.filter(one => one.process.roles.includes("control")).map(one => one.process.id);
        assert.deepEqual(all[0]?.controlPeers.map(peer => peer.id), controlIds);
        for (const one of all) {
            assert.deepEqual(one.controlPeers, all[0]?.controlPeers);
            assert.deepEqual(one.placement, all[0]?.placement);
        }
        assert.equal(new Set(all.map(one => one.process.id)).size, all.length);
        assert.equal(new Set(all.map(one => one.listen.peerHost)).size, all.length);
        const zones = new Set(all.map(one => one.process.availabilityZone)).size;
        assert.equal(zones, user === "hakata" ? 3 : 4);
        assert.ok(all.length >= 6 && all.length <= 8);
    }
});

void test("docs/settings.md agrees with the table of keys", () => {
    const page = readFileSync(join(root, "docs/settings.md"), "utf8");
    const rows = page.split("\n").filter(line => line.startsWith("| `"));
    const expected = settingKeys.map(({ key, rule, defaultValue, required, meaning }) => {
        const shown = required ? "required" : defaultValue ?? "none";
        return `| \`${key}\` | ${getUnit(rule)} | ${shown} | ${describeRule(rule)} | ${meaning} |`;
    });
    assert.deepEqual(rows, expected);
    const sections = [...page.matchAll(/^## \[(.*)\]$/gm)].map(match => match[1]);
    assert.deepEqual(sections, ["process", "listen", "control", "log", "leases", "requests", "placement"]);
});
