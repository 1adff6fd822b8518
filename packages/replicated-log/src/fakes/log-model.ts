import type { ErrorData, MemberChange, PeerId } from "@chestnutspool/types";
import { Effect, Exit } from "effect";
import { TestClock } from "effect/testing";
import assert from "node:assert/strict";
import type { HardState } from "../messages.js";
import { decodeFile } from "../record.js";
import { type TestCluster, type TestReplica } from "./test-cluster.js";

/** Longest delay of a frame in model runs, in milliseconds. */
export const maxDelayMs = 80;

/** One step of a model run; replicas are numbered. */
export type ModelAction =
    | { readonly kind: "propose"; readonly replica: number; readonly count: number; }
    | { readonly kind: "read"; readonly replica: number; }
    | { readonly kind: "crash"; readonly replica: number; readonly keptShare: number; }
    | { readonly kind: "powerLoss"; readonly keptShare: number; }
    | { readonly kind: "restart"; readonly replica: number; }
    | { readonly kind: "wipe"; readonly replica: number; }
    | { readonly kind: "cut"; readonly from: number; readonly to: number; readonly bothWays: boolean; }
    | { readonly kind: "isolate"; readonly replica: number; }
    | { readonly kind: "heal"; }
    | { readonly kind: "delay"; readonly from: number; readonly to: number; readonly delayMs: number; }
    | { readonly kind: "fullDisk"; readonly replica: number; readonly freeBytes: number; }
    | { readonly kind: "slowDisk"; readonly replica: number; readonly delayMs: number; }
    | { readonly kind: "transfer"; }
    | { readonly kind: "change"; readonly replica: number; readonly change: MemberChange["kind"]; }
    | { readonly kind: "advance"; readonly durationMs: number; };

/** A run of random actions on a cluster, with the checks of its replicas. */
export interface ModelRun {
    readonly runAction: (action: ModelAction) => Effect.Effect<void, ErrorData>;
    /** Checks the replicas against each other and against all earlier observations. */
    readonly checkReplicas: () => void;
    /**
     * Ends all faults and waits for an election and a commit. Checks that no acknowledged command is missing, that none
     * was applied twice, that no refused one was applied, and that all members applied the same commands.
     */
    readonly finish: Effect.Effect<void, ErrorData>;
}

interface Observations {
    /** Longest sequence of applied commands; every later one must agree with it. */
    history: readonly string[];
    readonly acknowledged: Set<string>;
    readonly refused: Set<string>;
    readonly leaders: Map<number, PeerId>;
    proposed: number;
    wiped: PeerId | undefined;
    hasRemovedVoter: boolean;
    fault: unknown;
}

/** Reads the identity of a replica from the hard state in its data folder. */
export function readIdentity(replica: TestReplica): string {
    const state = decodeFile("hard-state", replica.memoryDisk.readBytes("hard-state")).unsafeCoerce() as HardState;
    return state.identity;
}

function checkPrefix(observed: Observations, replica: TestReplica): void {
    const commands = replica.machine.listCommands();
    const shared = Math.min(commands.length, observed.history.length);
    assert.deepEqual(
        commands.slice(0, shared),
        observed.history.slice(0, shared),
        `replica ${replica.id} applied another sequence`,
    );
    if (commands.length > observed.history.length) {
        observed.history = [...commands];
    }
}

/** Creates a run on a cluster whose replicas run. */
export function createModelRun(cluster: TestCluster): ModelRun {
    const observed: Observations = {
        history: [],
        acknowledged: new Set(),
        refused: new Set(),
        leaders: new Map(),
        proposed: 0,
        wiped: undefined,
        hasRemovedVoter: false,
        fault: undefined,
    };
    const { replicas, network } = cluster;
    const getReplica = (position: number): TestReplica => replicas[position % replicas.length] as TestReplica;

    // A check within a fiber of a replica must not end that fiber, so the first fault is kept for `checkReplicas`.
    const check = (body: () => void): void => {
        try {
            body();
        }
        catch (fault) {
            observed.fault ??= fault;
        }
    };

    const watchReplica = (replica: TestReplica): void => {
        replica.log?.watchStatus(status =>
            check(() => {
                if (status.role === "leader") {
                    const known = observed.leaders.get(status.term) ?? replica.id;
                    observed.leaders.set(status.term, known);
                    assert.equal(known, replica.id, `two leaders in term ${status.term}`);
                }
            })
        );
    };
    replicas.forEach(watchReplica);

    const checkReplicas = (): void => {
        replicas.filter(replica => replica.log !== undefined).forEach(replica => checkPrefix(observed, replica));
        if (observed.fault !== undefined) {
            throw observed.fault as Error;
        }
        for (const replica of replicas) {
            assert.notEqual(replica.log?.readStatus().role, "stopped", `replica ${replica.id} stopped`);
        }
    };

    const proposeOnce = Effect.fnUntraced(function*(replica: TestReplica) {
        const command = `command-${observed.proposed++}`;
        const { machine } = replica;
        const exit = yield* Effect.exit(replica.log?.proposeCommand(command) ?? Effect.interrupt);
        check(() => {
            if (Exit.isSuccess(exit)) {
                assert.equal(machine.listCommands()[exit.value - 1], command, "result of another command");
                observed.acknowledged.add(command);
            }
            else if (JSON.stringify(exit.cause).includes("notLeader")) {
                observed.refused.add(command);
            }
        });
    });

    const readOnce = Effect.fnUntraced(function*(replica: TestReplica) {
        const expected = [...observed.acknowledged];
        const { machine } = replica;
        const exit = yield* Effect.exit(replica.log?.confirmRead ?? Effect.interrupt);
        check(() => {
            if (Exit.isSuccess(exit)) {
                const applied = new Set(machine.listCommands());
                const missing = expected.filter(command => !applied.has(command));
                assert.deepEqual(missing, [], `confirmed read at ${replica.id} misses acknowledged commands`);
            }
        });
    });

    const crash = (replica: TestReplica, keptShare: number) =>
        Effect.andThen(cluster.crashReplica(replica.id, keptShare), TestClock.adjust(maxDelayMs + 1));

    const restart = Effect.fnUntraced(function*(replica: TestReplica) {
        if (replica.log === undefined) {
            // The start waits for its writes, and the clock does not advance during the start.
            replica.memoryDisk.setSyncDelay(0);
            // A start that has to write the identity of a new folder fails on a full disk, as the process would.
            replica.memoryDisk.setFreeBytes(Number.POSITIVE_INFINITY);
            yield* cluster.startReplica(replica.id);
            watchReplica(replica);
        }
    });

    const wipe = Effect.fnUntraced(function*(replica: TestReplica) {
        // At most one disk is lost in a run, and none after a voter was removed: with fewer voters left, the lost disk can
        // make up the majority.
        if (observed.wiped === undefined && !observed.hasRemovedVoter) {
            observed.wiped = replica.id;
            yield* crash(replica, 0);
            replica.memoryDisk.removeAll();
            yield* restart(replica);
        }
    });

    const planChange = (replica: TestReplica, kind: MemberChange["kind"]): MemberChange => {
        const { id } = replica;
        return kind === "addLearner"
            ? { kind, id, address: `memory:${id}`, replicaIdentity: readIdentity(replica) }
            : { kind, id };
    };

    const forkOn = (replica: TestReplica, effect: Effect.Effect<void, ErrorData>) =>
        replica.scope === undefined ? Effect.void : Effect.asVoid(Effect.forkIn(Effect.ignore(effect), replica.scope));

    const heal = (): void => {
        for (const from of replicas) {
            for (const to of replicas) {
                network.setCut(from.id, to.id, false);
                network.setDelay(from.id, to.id, 0);
            }
        }
    };

    const runAction = Effect.fnUntraced(function*(action: ModelAction) {
        switch (action.kind) {
            case "propose": {
                const replica = cluster.findLeader() ?? getReplica(action.replica);
                for (let done = 0; done < action.count; done += 1) {
                    yield* forkOn(replica, proposeOnce(replica));
                }
                yield* forkOn(getReplica(action.replica), proposeOnce(getReplica(action.replica)));
                break;
            }
            case "read":
                for (const replica of replicas) {
                    yield* forkOn(replica, readOnce(replica));
                }
                break;
            case "crash":
                yield* crash(getReplica(action.replica), action.keptShare);
                break;
            case "powerLoss":
                yield* Effect.forEach(replicas, replica => cluster.crashReplica(replica.id, action.keptShare));
                yield* TestClock.adjust(maxDelayMs + 1);
                yield* Effect.forEach(replicas, restart);
                break;
            case "restart":
                yield* restart(getReplica(action.replica));
                break;
            case "wipe":
                yield* wipe(getReplica(action.replica));
                break;
            case "cut":
                network.setCut(getReplica(action.from).id, getReplica(action.to).id, true);
                if (action.bothWays) {
                    network.setCut(getReplica(action.to).id, getReplica(action.from).id, true);
                }
                break;
            case "isolate":
                for (const { id } of replicas) {
                    network.setCut(getReplica(action.replica).id, id, id !== getReplica(action.replica).id);
                    network.setCut(id, getReplica(action.replica).id, id !== getReplica(action.replica).id);
                }
                break;
            case "heal":
                heal();
                break;
            case "delay":
                network.setDelay(getReplica(action.from).id, getReplica(action.to).id, action.delayMs);
                break;
            case "slowDisk":
                getReplica(action.replica).memoryDisk.setSyncDelay(action.delayMs);
                break;
            case "fullDisk":
                getReplica(action.replica).memoryDisk.setFreeBytes(action.freeBytes);
                break;
            case "transfer": {
                const leader = cluster.findLeader();
                if (leader?.log !== undefined) {
                    yield* forkOn(leader, leader.log.transferLeadership);
                }
                break;
            }
            case "change": {
                const leader = cluster.findLeader();
                const target = getReplica(action.replica);
                // After a disk was lost, the removal of another voter could leave a majority that includes the lost disk.
                const isSafe = action.change !== "removeMember" || observed.wiped === undefined
                    || observed.wiped === target.id;
                if (leader?.log !== undefined && isSafe && target.log !== undefined) {
                    observed.hasRemovedVoter ||= action.change === "removeMember";
                    yield* forkOn(leader, leader.log.changeMembers(planChange(target, action.change)));
                }
                break;
            }
            case "advance":
                break;
        }
        yield* TestClock.adjust(action.kind === "advance" ? action.durationMs : 20);
        checkReplicas();
    });

    const finish = Effect.gen(function*() {
        heal();
        for (const replica of replicas) {
            replica.memoryDisk.setSyncDelay(0);
            replica.memoryDisk.setFreeBytes(Number.POSITIVE_INFINITY);
            yield* restart(replica);
        }
        yield* TestClock.adjust(10_000);
        checkReplicas();
        const leader = cluster.findLeader();
        assert.ok(leader !== undefined, "no leader after all faults ended");
        yield* forkOn(leader, proposeOnce(leader));
        yield* TestClock.adjust(2_000);
        checkReplicas();
        assert.ok(observed.acknowledged.has(`command-${observed.proposed - 1}`), "no commit after all faults ended");
        const applied = leader.machine.listCommands();
        assert.equal(new Set(applied).size, applied.length, "a command was applied twice");
        assert.deepEqual([...observed.acknowledged].filter(command => !applied.includes(command)), [], "lost commands");
        assert.deepEqual(applied.filter(command => observed.refused.has(command)), [], "refused commands were applied");
        for (const member of leader.log?.readStatus().members ?? []) {
            const replica = cluster.getReplica(member.id);
            if (readIdentity(replica) === member.replicaIdentity) {
                assert.deepEqual(replica.machine.listCommands(), applied, `member ${member.id} is behind`);
            }
        }
    });

    return { runAction, checkReplicas, finish };
}
