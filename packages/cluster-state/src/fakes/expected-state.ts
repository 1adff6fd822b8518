import {
    addResources,
    type ClusterState,
    type CommandResult,
    type ControlCommand,
    findShortage,
    noResources,
    type OwnershipRecord,
    type Resources,
    type TaskRecord,
} from "@chestnutspool/types";
import assert from "node:assert/strict";

/** A command that is not a batch. */
export type SingleCommand = Exclude<ControlCommand, { readonly kind: "batch"; }>;

interface ExpectedAttempt {
    readonly token: number;
    readonly worker: string;
}

/** State expected after the accepted commands, computed independently of the state machine. */
export interface ExpectedState {
    /** Attempts that may run on a worker, by task. */
    readonly attempts: Map<string, ExpectedAttempt>;
    readonly highestTokens: Map<string, number>;
    readonly checkpoints: Map<string, string>;
    readonly ownership: Map<string, OwnershipRecord>;
    revision: number;
    /** Number of runs of each request, without those that ended as not run. */
    readonly runsByRequest: Map<string, number>;
}

/** Creates the expected state before the first command. */
export function createExpectedState(): ExpectedState {
    return {
        attempts: new Map(),
        highestTokens: new Map(),
        checkpoints: new Map(),
        ownership: new Map(),
        revision: 0,
        runsByRequest: new Map(),
    };
}

function dropAttemptsOfWorker(expected: ExpectedState, worker: string): void {
    for (const [task, attempt] of expected.attempts) {
        if (attempt.worker === worker) {
            expected.attempts.delete(task);
        }
    }
}

function observePlacement(expected: ExpectedState, task: TaskRecord | undefined, worker: string): void {
    assert.ok(task !== undefined);
    assert.ok(!expected.attempts.has(task.id), `task ${task.id} is placed while an attempt may run`);
    assert.ok(task.token > (expected.highestTokens.get(task.id) ?? 0), "tokens rise");
    assert.ok(![...expected.attempts.values()].some(attempt => attempt.token === task.token), "tokens are unique");
    assert.equal(task.checkpoint, expected.checkpoints.get(task.id), "resumes from the last recorded checkpoint");
    expected.attempts.set(task.id, { token: task.token, worker });
    expected.highestTokens.set(task.id, task.token);
}

/** Updates the expected state with a command and its result; a refused command changes nothing. */
export function observeCommand(
    expected: ExpectedState,
    before: { readonly incarnations: ReadonlyMap<string, string>; },
    state: ClusterState,
    command: SingleCommand,
    result: CommandResult,
): void {
    if (result.kind === "refused") {
        return;
    }
    switch (command.kind) {
        case "placeTask":
            observePlacement(expected, state.tasks.get(command.task), command.worker);
            break;
        case "recordCheckpoint":
            assert.equal(expected.attempts.get(command.task)?.token, command.token, "a checkpoint of a stale attempt");
            expected.checkpoints.set(command.task, command.checkpoint);
            break;
        case "endTask":
            assert.equal(expected.attempts.get(command.task)?.token, command.token, "an attempt ends once");
            expected.attempts.delete(command.task);
            break;
        case "expireWorker":
            dropAttemptsOfWorker(expected, command.worker);
            break;
        case "registerWorker":
            if (before.incarnations.get(command.worker) !== command.incarnation) {
                dropAttemptsOfWorker(expected, command.worker);
            }
            break;
        case "beginRequest":
            if (result.kind === "requestBegun") {
                const id = command.request.requestId;
                assert.equal(expected.runsByRequest.get(id) ?? 0, 0, `request ${id} may run twice`);
                expected.runsByRequest.set(id, 1);
            }
            break;
        case "finishRequest":
            if (
                command.outcome.kind === "notRun"
                && state.requests.get(`6:hakata:${command.requestId}`)?.outcome.kind === "notRun"
            ) {
                expected.runsByRequest.set(command.requestId, 0);
            }
            break;
        case "operatorChange":
        case "setAsideWorker":
        case "confirmStart":
        case "requestEviction":
        case "throttleTask":
        case "rejectTask":
        case "openSession":
        case "expireEntry":
        case "drainSession":
        case "registerMinion":
        case "removeMinion":
        case "rebalanceOwnership":
        case "moveOwnership":
            break;
    }
}

function sumCharged(tasks: readonly TaskRecord[]): Resources {
    return tasks.reduce((sum, task) => addResources(sum, task.charged), noResources);
}

/** Compares the derived indexes and the charges with those computed from the tasks. */
export function checkCharges(expected: ExpectedState, state: ClusterState): void {
    const tasks = [...state.tasks.values()];
    const charged = tasks.filter(task => task.worker !== undefined);
    assert.deepEqual(
        new Map(charged.map(task => [task.id, { token: task.token, worker: task.worker }])),
        expected.attempts,
        "exactly the attempts that may run are charged",
    );
    assert.deepEqual(state.pendingTasks, new Set(tasks.filter(task => task.phase === "pending").map(task => task.id)));
    for (const worker of state.workers.values()) {
        const own = charged.filter(task => task.worker === worker.id);
        assert.deepEqual(worker.used, sumCharged(own), `use of ${worker.id}`);
        assert.deepEqual(state.tasksByWorker.get(worker.id) ?? new Set(), new Set(own.map(task => task.id)));
        const staying = sumCharged(own.filter(task => task.phase !== "stopping"));
        assert.equal(findShortage(staying, worker.capacity), undefined, `${worker.id} is over capacity`);
    }
    for (const tenant of state.tenants.keys()) {
        const own = charged.filter(task => task.tenant === tenant);
        assert.deepEqual(state.usedByTenant.get(tenant) ?? noResources, sumCharged(own), `use of ${tenant}`);
    }
}

/** Checks owners and epochs against those of the previous call. */
export function checkOwnership(expected: ExpectedState, state: ClusterState): void {
    assert.equal([...state.ownership.keys()].filter(key => key.startsWith("shard:")).length, 64);
    assert.equal(state.ownership.size, 64 + state.minions.size);
    for (const [key, record] of state.ownership) {
        const earlier = expected.ownership.get(key);
        const sameOwner = earlier !== undefined && earlier.owner === record.owner;
        assert.ok(record.epoch >= (earlier?.epoch ?? 0), `epoch of ${key} fell`);
        assert.ok(
            sameOwner || earlier === undefined || record.epoch > earlier.epoch,
            `${key} changed owner at one epoch`,
        );
        if (state.entries.size > 0) {
            assert.ok(record.owner !== undefined && state.entries.has(record.owner), `${key} has no live owner`);
        }
        assert.equal(record.phase === "releasing", record.next !== undefined, `${key} has a successor while releasing`);
        assert.ok(record.next === undefined || (state.entries.has(record.next) && record.next !== record.owner));
        expected.ownership.set(key, record);
    }
}

/** Checks that the configuration revision never decreases. */
export function checkConfiguration(expected: ExpectedState, state: ClusterState): void {
    assert.ok(state.configuration.revision >= expected.revision, "configuration revision fell");
    expected.revision = state.configuration.revision;
}
