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
export type Leaf = Exclude<ControlCommand, { readonly kind: "batch"; }>;

interface LiveAttempt {
    readonly token: number;
    readonly worker: string;
}

/** What an observer of the accepted commands knows, kept apart from the state machine. */
export interface Ledger {
    /** Attempts that may run at a worker. */
    readonly live: Map<string, LiveAttempt>;
    readonly highestToken: Map<string, number>;
    readonly checkpoints: Map<string, string>;
    readonly epochs: Map<string, OwnershipRecord>;
    revision: number;
    /** Runs of each request that were not ended as not run. */
    readonly runs: Map<string, number>;
}

/** Creates a ledger that has seen nothing. */
export function createLedger(): Ledger {
    return {
        live: new Map(),
        highestToken: new Map(),
        checkpoints: new Map(),
        epochs: new Map(),
        revision: 0,
        runs: new Map(),
    };
}

function dropWorker(ledger: Ledger, worker: string): void {
    for (const [task, attempt] of ledger.live) {
        if (attempt.worker === worker) {
            ledger.live.delete(task);
        }
    }
}

function observePlacement(ledger: Ledger, task: TaskRecord | undefined, worker: string): void {
    assert.ok(task !== undefined);
    assert.ok(!ledger.live.has(task.id), `task ${task.id} is placed while an attempt may run`);
    assert.ok(task.token > (ledger.highestToken.get(task.id) ?? 0), "tokens rise");
    assert.ok(![...ledger.live.values()].some(attempt => attempt.token === task.token), "tokens are unique");
    assert.equal(task.checkpoint, ledger.checkpoints.get(task.id), "resumes from the last recorded checkpoint");
    ledger.live.set(task.id, { token: task.token, worker });
    ledger.highestToken.set(task.id, task.token);
}

/** Takes an accepted command into the ledger. */
export function observeCommand(
    ledger: Ledger,
    before: { readonly incarnations: ReadonlyMap<string, string>; },
    state: ClusterState,
    command: Leaf,
    result: CommandResult,
): void {
    if (result.kind === "refused") {
        return;
    }
    switch (command.kind) {
        case "placeTask":
            observePlacement(ledger, state.tasks.get(command.task), command.worker);
            break;
        case "recordCheckpoint":
            assert.equal(ledger.live.get(command.task)?.token, command.token, "a checkpoint of a stale attempt");
            ledger.checkpoints.set(command.task, command.checkpoint);
            break;
        case "endTask":
            assert.equal(ledger.live.get(command.task)?.token, command.token, "an attempt ends once");
            ledger.live.delete(command.task);
            break;
        case "expireWorker":
            dropWorker(ledger, command.worker);
            break;
        case "registerWorker":
            if (before.incarnations.get(command.worker) !== command.incarnation) {
                dropWorker(ledger, command.worker);
            }
            break;
        case "beginRequest":
            if (result.kind === "requestBegun") {
                const id = command.request.requestId;
                assert.equal(ledger.runs.get(id) ?? 0, 0, `request ${id} may run twice`);
                ledger.runs.set(id, 1);
            }
            break;
        case "finishRequest":
            if (
                command.outcome.kind === "notRun"
                && state.requests.get(`6:hakata:${command.requestId}`)?.outcome.kind === "notRun"
            ) {
                ledger.runs.set(command.requestId, 0);
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

/** Compares the derived indexes and the charges with what the tasks themselves say. */
export function checkCharges(ledger: Ledger, state: ClusterState): void {
    const tasks = [...state.tasks.values()];
    const charged = tasks.filter(task => task.worker !== undefined);
    assert.deepEqual(
        new Map(charged.map(task => [task.id, { token: task.token, worker: task.worker }])),
        ledger.live,
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

/** Checks owners and epochs against those seen before. */
export function checkOwnership(ledger: Ledger, state: ClusterState): void {
    assert.equal([...state.ownership.keys()].filter(key => key.startsWith("shard:")).length, 64);
    assert.equal(state.ownership.size, 64 + state.minions.size);
    for (const [key, record] of state.ownership) {
        const earlier = ledger.epochs.get(key);
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
        ledger.epochs.set(key, record);
    }
}

/** Checks that the configuration revision never falls. */
export function checkConfiguration(ledger: Ledger, state: ClusterState): void {
    assert.ok(state.configuration.revision >= ledger.revision, "configuration revision fell");
    ledger.revision = state.configuration.revision;
}
