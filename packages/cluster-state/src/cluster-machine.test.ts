import type { CommandResult, ControlCommand } from "@chestnutspool/types";
import fc from "fast-check";
import assert from "node:assert/strict";
import { test } from "node:test";
import {
    checkCharges,
    checkConfiguration,
    checkOwnership,
    createExpectedState,
    type ExpectedState,
    observeCommand,
    type SingleCommand,
} from "./fakes/expected-state.js";
import { anyStep, makeCommand, makeStartCommands, type Step } from "./fakes/random-commands.js";
import { type ClusterMachine, createClusterMachine } from "./index.js";

const seed = 20_261;

interface TestRun {
    readonly machine: ClusterMachine;
    readonly expected: ExpectedState;
    readonly history: ControlCommand[];
    readonly results: CommandResult[];
}

function listSingleCommands(command: ControlCommand): SingleCommand[] {
    return command.kind === "batch" ? command.commands.flatMap(listSingleCommands) : [command];
}

function applyOne(run: TestRun, command: ControlCommand): void {
    const { machine, expected, history, results } = run;
    const index = history.length + 1;
    // The commands of a batch are applied one by one, so that the state is checked after each of them.
    for (const part of listSingleCommands(command)) {
        const incarnations = new Map(
            [...machine.state.workers.values()].map(worker => [worker.id, worker.incarnation]),
        );
        const result = machine.applyCommand(index, part);
        results.push(result);
        observeCommand(expected, { incarnations }, machine.state, part, result);
        checkCharges(expected, machine.state);
        checkOwnership(expected, machine.state);
        checkConfiguration(expected, machine.state);
    }
    history.push(command);
}

function runSteps(steps: readonly Step[]): TestRun {
    const run: TestRun = { machine: createClusterMachine(), expected: createExpectedState(), history: [], results: [] };
    for (const command of makeStartCommands()) {
        applyOne(run, command);
    }
    let nowMs = 1_000;
    for (const step of steps) {
        nowMs += 1 + step.elapsedMs;
        applyOne(run, makeCommand(run.machine.state, step, run.history, nowMs));
    }
    return run;
}

void test("no command sequence exceeds capacity, runs a task twice, loses a checkpoint or lowers an epoch", () => {
    fc.assert(
        fc.property(fc.array(anyStep, { minLength: 40, maxLength: 160 }), steps => {
            runSteps(steps);
        }),
        { seed, numRuns: 400, includeErrorInReport: true },
    );
});

void test("random sequences reach the events and refusals that the property tests depend on", () => {
    const reached = new Map<string, number>();
    for (const steps of fc.sample(fc.array(anyStep, { minLength: 160, maxLength: 160 }), { seed, numRuns: 40 })) {
        const { machine, results } = runSteps(steps);
        const events = machine.state.events.map(event => event.kind);
        const refusals = results.flatMap(result => result.kind === "refused" ? [result.error.kind] : []);
        for (const name of [...events, ...refusals, ...results.map(result => result.kind)]) {
            reached.set(name, (reached.get(name) ?? 0) + 1);
        }
    }
    const wanted = [
        "taskPlaced",
        "taskEnded",
        "taskEvicted",
        "taskImpossible",
        "workerExpired",
        "entryExpired",
        "ownershipMoved",
    ];
    const refused = [
        "capacityExceeded",
        "staleToken",
        "revisionConflict",
        "requestIdReused",
        "sessionExpired",
        "notFound",
    ];
    for (const name of [...wanted, ...refused, "requestBegun", "requestKnown", "configurationChanged"]) {
        assert.ok((reached.get(name) ?? 0) >= 5, `${name} was reached ${reached.get(name) ?? 0} times`);
    }
});

void test("a snapshot taken at any point restores the same state and gives the same later results", () => {
    fc.assert(
        fc.property(fc.array(anyStep, { minLength: 20, maxLength: 100 }), fc.nat(1_000), (steps, choice) => {
            const { history } = runSteps(steps);
            const original = createClusterMachine();
            const restored = createClusterMachine();
            const snapshotAt = choice % history.length;
            for (const [position, command] of history.entries()) {
                const result = original.applyCommand(position + 1, command);
                if (position === snapshotAt) {
                    restored.applyCommand(1, { kind: "rebalanceOwnership", nowMs: 7 });
                    restored.restoreSnapshot(original.takeSnapshot());
                    original.takeChangedWorkers();
                    restored.takeChangedWorkers();
                    assert.deepEqual(restored.state, original.state);
                }
                else if (position > snapshotAt) {
                    assert.deepEqual(restored.applyCommand(position + 1, command), result);
                }
            }
            const last = restored.takeSnapshot();
            assert.ok(Buffer.from(original.takeSnapshot()).equals(last));
            // Both machines reuse encoded records of the first snapshot. A stale one would be in both later snapshots,
            // which would still be equal; only the restored state would differ.
            const fresh = createClusterMachine();
            fresh.restoreSnapshot(last);
            original.takeChangedWorkers();
            assert.deepEqual(fresh.state, original.state);
        }),
        { seed, numRuns: 200, includeErrorInReport: true },
    );
});
