import type { RunEnd, RunOutcome } from "@chestnutspool/types";
import assert from "node:assert/strict";
import { test } from "node:test";
import { makeJob, makeMachine, makeStep, makeWorker, type TestMachine } from "./fakes/index.js";

const members = 3;

function startGang(machine: TestMachine, run: number): void {
    const starts = Array.from({ length: members }, (item, position) => ({
        job: "a",
        occurrence: 0,
        step: 0,
        position,
        run,
        worker: `w${position}`,
    }));
    const result = machine.apply({ kind: "startRuns", starts });
    assert.deepEqual(result, { kind: "started", refused: [] });
}

function setUp(): TestMachine {
    const machine = makeMachine(Array.from({ length: members }, (item, number) => makeWorker(`w${number}`)));
    machine.submit(makeJob("a", [makeStep({ count: members, gang: true, checkpointing: true })]));
    startGang(machine, 1);
    return machine;
}

function makeEnd(position: number, run: number, outcome: RunOutcome, checkpoint: string): RunEnd {
    return { job: "a", occurrence: 0, step: 0, position, run, outcome, checkpoint };
}

function end(machine: TestMachine, ...[position, run, outcome, checkpoint]: Parameters<typeof makeEnd>): void {
    machine.apply({
        kind: "endRuns",
        worker: `w${position}`,
        ends: [makeEnd(position, run, outcome, checkpoint)],
    });
}

function listCheckpoints(machine: TestMachine): readonly string[] {
    return machine.state.jobs.get("a")?.occurrences.get(0)?.steps[0]?.tasks.map(task => task.checkpoint) ?? [];
}

// Guards against members of one run that resume from different checkpoints after a crash, because each kept its own last one.
test("all members of a gang resume from one checkpoint after the crash of one member's worker", () => {
    const machine = setUp();
    machine.apply({
        kind: "expireWorker",
        worker: "w0",
        isGone: false,
        checkpoints: [makeEnd(0, 1, "lapsed", "3000")],
    });
    end(machine, 1, 1, "gangBroken", "4000");
    end(machine, 2, 1, "gangBroken", "");
    startGang(machine, 2);
    assert.deepEqual(listCheckpoints(machine), ["4000", "4000", "4000"]);
});

// Guards against the loss of progress by a member that reports the checkpoint from which it resumed.
test("a member without new progress does not replace the checkpoint that another member saved in the same run", () => {
    const machine = setUp();
    [0, 1, 2].forEach(position => end(machine, position, 1, "gangBroken", "1000"));
    startGang(machine, 2);
    end(machine, 1, 2, "gangBroken", "2000");
    end(machine, 0, 2, "lapsed", "1000");
    end(machine, 2, 2, "neverStarted", "");
    startGang(machine, 3);
    assert.deepEqual(listCheckpoints(machine), ["2000", "2000", "2000"]);
});

// Guards against start orders of one run that differ because a member ended while the orders of others were being sent.
test("a member in progress keeps the checkpoint with which its run started", () => {
    const machine = setUp();
    [0, 1, 2].forEach(position => end(machine, position, 1, "gangBroken", "1000"));
    startGang(machine, 2);
    end(machine, 1, 2, "lapsed", "2000");
    assert.deepEqual([0, 2].map(position => listCheckpoints(machine)[position]), ["1000", "1000"]);
});

// Guards against members that resume from different checkpoints because an earlier build recorded them.
test("members whose recorded checkpoints differ start from the same one", () => {
    const machine = setUp();
    [0, 1, 2].forEach(position => end(machine, position, 1, "gangBroken", ""));
    const tasks = machine.state.jobs.get("a")?.occurrences.get(0)?.steps[0]?.tasks ?? [];
    tasks.forEach((task, position) => {
        task.checkpoint = ["", "2000", "3000"][position] ?? "";
    });
    startGang(machine, 2);
    assert.deepEqual(listCheckpoints(machine), ["2000", "2000", "2000"]);
});

test("tasks of a step that is no gang keep their own checkpoints", () => {
    const machine = makeMachine(Array.from({ length: members }, (item, number) => makeWorker(`w${number}`)));
    machine.submit(makeJob("a", [makeStep({ count: members, checkpointing: true })]));
    startGang(machine, 1);
    [0, 1, 2].forEach(position => end(machine, position, 1, "lapsed", `${position}000`));
    startGang(machine, 2);
    assert.deepEqual(listCheckpoints(machine), ["0000", "1000", "2000"]);
});
