import { create } from "@bufbuild/protobuf";
import { type Directive, DirectiveSchema } from "@chestnutspool/schema";
import fc from "fast-check";
import assert from "node:assert/strict";
import { test } from "node:test";
import { parseTaskBehaviour } from "./behaviour.js";
import type { TaskEvent } from "./task-event.js";
import { createWorkerTasks, parseCheckpoint } from "./worker-tasks.js";

function createTasks(command: string) {
    const events: TaskEvent[] = [];
    const tasks = createWorkerTasks({
        worker: "w",
        incarnation: "i",
        usageLagMs: 100,
        findBehaviour: () => parseTaskBehaviour(command),
        recordEvent: event => events.push(event),
    });
    return { tasks, events };
}

function buildStart(token: bigint, resumeFrom = "", checkpointIntervalMs = 0): Directive {
    return create(DirectiveSchema, {
        task: "t/0",
        token,
        action: { case: "start", value: { resumeFrom, checkpointIntervalMs } },
    });
}

function buildStop(token: bigint): Directive {
    return create(DirectiveSchema, { task: "t/0", token, action: { case: "stop", value: {} } });
}

void test("for any order of repeated and late directives a token starts once and one attempt runs at a time", () => {
    const directive = fc.record({ stop: fc.boolean(), token: fc.bigInt({ min: 1n, max: 5n }) });
    fc.assert(
        fc.property(fc.array(directive, { maxLength: 30 }), directives => {
            const { tasks, events } = createTasks("");
            directives.forEach(({ stop, token }, nowMs) => {
                tasks.applyDirective(stop ? buildStop(token) : buildStart(token), nowMs);
            });
            const started = events.filter(event => event.kind === "started").map(event => event.token);
            assert.deepEqual(started, [...new Set(started)].sort((left, right) => Number(left - right)));
            let running = 0;
            for (const event of events) {
                running += event.kind === "started" ? 1 : event.kind === "ended" ? -1 : 0;
                assert.ok(running === 0 || running === 1, `${running} attempts run at once`);
            }
        }),
        { seed: 4104, numRuns: 300 },
    );
});

void test("a stopped watch keeps its last checkpoint, and the next attempt continues from it", () => {
    const { tasks, events } = createTasks("");
    tasks.applyDirective(buildStart(1n, "", 100), 0);
    tasks.updateTasks(100);
    tasks.updateTasks(150);
    tasks.applyDirective(buildStop(1n), 150);
    const [ended] = tasks.listEnded();
    assert.equal(parseCheckpoint(ended?.checkpoint ?? ""), 100);
    tasks.applyDirective(buildStart(2n, ended?.checkpoint, 100), 200);
    tasks.updateTasks(300);
    assert.equal(tasks.listRunning()[0]?.checkpoint, "t/0@200");
    assert.equal(events.filter(event => event.kind === "started" && event.resumedFrom !== undefined).length, 1);
});

void test("a paused task makes no progress, and an ended one is reported until it is acknowledged", () => {
    const { tasks } = createTasks("run-ms=100");
    tasks.applyDirective(buildStart(1n), 0);
    tasks.setPaused(true, 50);
    tasks.updateTasks(500);
    tasks.setPaused(false, 500);
    tasks.updateTasks(549);
    assert.equal(tasks.listEnded().length, 0);
    tasks.updateTasks(550);
    assert.equal(tasks.listEnded().length, 1);
    tasks.forgetEnded([2n]);
    assert.equal(tasks.listEnded().length, 1);
    tasks.forgetEnded([1n]);
    assert.equal(tasks.listEnded().length, 0);
});
