import { Effect } from "effect";
import assert from "node:assert/strict";
import { readFileSync } from "node:fs";
import { test } from "node:test";
import { reservePorts } from "./reserve-ports.js";

const portRangeFile = "/proc/sys/net/ipv4/ip_local_port_range";

// Guards against a process that fails to start because the system has given its port to another listener on port 0.
void test("reserved ports differ and are none that the system hands out itself", async () => {
    const [first = 0] = readFileSync(portRangeFile, "utf8").trim().split(/\s+/).map(Number);
    const ports = await Effect.runPromise(reservePorts(200));
    assert.equal(new Set(ports).size, 200);
    assert.deepEqual(ports.filter(port => port < 1_024 || port >= first), []);
});
