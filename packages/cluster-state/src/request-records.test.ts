import { type CommandResult, formatRequestKey, type RequestOutcome } from "@chestnutspool/types";
import assert from "node:assert/strict";
import { test } from "node:test";
import { type Driver, getRefusal, makeDriver, makeRequest, openEntry } from "./fakes/make-commands.js";

function makeDriverWithEntry(): Driver {
    const driver = makeDriver();
    openEntry(driver, "entry-0");
    return driver;
}

function begin(driver: Driver, id: string): CommandResult {
    return driver.apply({ kind: "beginRequest", request: makeRequest(driver, id) });
}

function finish(driver: Driver, id: string, outcome: RequestOutcome, beganIndex?: number): CommandResult {
    const { tenant, requestId, entry, epoch } = makeRequest(driver, id);
    return driver.apply({ kind: "finishRequest", tenant, requestId, entry, epoch, beganIndex, outcome });
}

function findOutcome(driver: Driver, id: string): RequestOutcome | undefined {
    return driver.state.requests.get(formatRequestKey("hakata", id))?.outcome;
}

const answered = { kind: "answered", status: 200, answer: Uint8Array.of(1, 2) } as const;

void test("a resend gets the first outcome and never begins the request again", () => {
    const driver = makeDriverWithEntry();
    assert.equal(begin(driver, "order").kind, "requestBegun");
    const running = begin(driver, "order");
    assert.equal(running.kind === "requestKnown" && running.record.outcome.kind, "running");
    finish(driver, "order", answered);
    finish(driver, "order", { kind: "unknown" });
    const known = begin(driver, "order");
    assert.deepEqual(known.kind === "requestKnown" && known.record.outcome, answered);
    const other = driver.apply({ kind: "beginRequest", request: makeRequest(driver, "order", 2) });
    assert.deepEqual(getRefusal(other), { kind: "requestIdReused", requestId: "order" });
});

void test("a request that did not run may begin again, and its late end does not end the second begin", () => {
    const driver = makeDriverWithEntry();
    const first = begin(driver, "order").index;
    finish(driver, "order", { kind: "notRun" }, first);
    assert.equal(begin(driver, "order").kind, "requestBegun");
    assert.equal(getRefusal(finish(driver, "order", { kind: "notRun" }, first)).kind, "staleToken");
    assert.equal(findOutcome(driver, "order")?.kind, "running");
    begin(driver, "plain");
    finish(driver, "plain", { kind: "notRun" });
    assert.equal(begin(driver, "plain").kind, "requestKnown");
});

void test("an owner that lost the shard cannot begin; its running records are unknown until it corrects them", () => {
    const driver = makeDriverWithEntry();
    const stale = makeRequest(driver, "late");
    begin(driver, "order");
    const { entry, epoch } = makeRequest(driver, "order");
    openEntry(driver, "entry-1");
    driver.apply({ kind: "expireEntry", entry: "entry-0", incarnation: "first" });
    assert.equal(getRefusal(driver.apply({ kind: "beginRequest", request: stale })).kind, "staleToken");
    assert.equal(findOutcome(driver, "order")?.kind, "unknown");
    assert.equal(begin(driver, "order").kind, "requestKnown");
    driver.apply({ kind: "finishRequest", tenant: "hakata", requestId: "order", entry, epoch, outcome: answered });
    assert.equal(findOutcome(driver, "order")?.kind, "answered");
});

void test("a tenant keeps at most 100,000 records, and finished ones are removed first and after 24 h", () => {
    const driver = makeDriverWithEntry();
    begin(driver, "running");
    for (let count = 0; count < 100_001; count += 1) {
        begin(driver, `order-${count}`);
        finish(driver, `order-${count}`, { kind: "unknown" });
    }
    assert.equal(driver.state.requests.size, 100_000);
    assert.equal(findOutcome(driver, "running")?.kind, "running");
    assert.equal(findOutcome(driver, "order-1"), undefined);
    assert.equal(findOutcome(driver, "order-2")?.kind, "unknown");
    driver.nowMs += 86_400_001;
    begin(driver, "next");
    assert.equal(driver.state.requests.size, 2);
});

void test("answers above 64 KiB, and a tenant's oldest above 16 MiB, are kept as status and length only", () => {
    const driver = makeDriverWithEntry();
    const answer = new Uint8Array(65_536);
    begin(driver, "large");
    finish(driver, "large", { kind: "answered", status: 200, answer: new Uint8Array(65_537) });
    assert.deepEqual(findOutcome(driver, "large"), { kind: "answeredNotKept", status: 200, length: 65_537 });
    for (let count = 0; count <= 256; count += 1) {
        begin(driver, `order-${count}`);
        finish(driver, `order-${count}`, { kind: "answered", status: 201, answer });
    }
    assert.deepEqual(findOutcome(driver, "order-0"), { kind: "answeredNotKept", status: 201, length: 65_536 });
    assert.equal(findOutcome(driver, "order-1")?.kind, "answered");
});
