import { getLog, type TestCluster, type TestReplica } from "@chestnutspool/replicated-log/fakes";
import { type ErrorData, type PeerId, readMonotonicMs } from "@chestnutspool/types";
import { Effect, Exit } from "effect";
import { TestClock } from "effect/testing";
import assert from "node:assert/strict";
import { listVoterIds } from "./directory-cluster.js";

/** Id of the process that a run may add. */
export const addedProcess = "f";
/** Time for which a process whose disk was lost still counts as lost after it is back, in milliseconds. */
const catchUpMs = 4_000;
/** Time within which all processes take part again after the last fault, in milliseconds. */
const recoveryMs = 12_000;

/** One step of a run; processes are numbered. Each ends with an advance of the clock. */
export type DirectoryAction =
    | { readonly kind: "propose"; readonly replica: number; readonly count: number; }
    /** Restarts a process with an empty disk; left out while another process whose disk was lost has not caught up. */
    | { readonly kind: "loseDisk"; readonly replica: number; readonly downMs: number; }
    | { readonly kind: "crash"; readonly replica: number; readonly keptShare: number; }
    | { readonly kind: "restart"; readonly replica: number; }
    | { readonly kind: "powerLoss"; readonly keptShare: number; }
    /** Cuts a process off: its frames to the others, the frames of the others to it, or both, as when it is frozen. */
    | { readonly kind: "isolate"; readonly replica: number; readonly inbound: boolean; readonly outbound: boolean; }
    | { readonly kind: "heal"; readonly replica: number; }
    | { readonly kind: "healAll"; }
    /** Starts a further process; only the first of these has an effect. */
    | { readonly kind: "add"; }
    | { readonly kind: "advance"; };

/** A run of random faults on processes with directories. */
export interface DirectoryRun {
    /** Runs an action, advances the clock by the given time in milliseconds and checks the replicas. */
    readonly runAction: (action: DirectoryAction, durationMs: number) => Effect.Effect<void, ErrorData>;
    /**
     * Ends all faults. Checks that soon after there is a leader, that every process has its vote, and that every process has
     * applied every acknowledged command, once.
     */
    readonly finish: Effect.Effect<void, ErrorData>;
}

interface RunState {
    /** Longest sequence of applied commands; every later one must agree with it. */
    history: readonly string[];
    readonly acknowledged: Set<string>;
    readonly leaders: Map<number, PeerId>;
    /** Processes that are cut off in some direction. */
    readonly isolated: Set<PeerId>;
    /** The process whose disk was lost last, until it has caught up. */
    lost: PeerId | undefined;
    /** When the last fault began or ended, in monotonic milliseconds. */
    lastFaultMs: number;
    proposed: number;
    fault: unknown;
}

/** Creates a run on a cluster whose processes run. */
export function createDirectoryRun(cluster: TestCluster): DirectoryRun {
    const state: RunState = {
        history: [],
        acknowledged: new Set(),
        leaders: new Map(),
        isolated: new Set(),
        lost: undefined,
        lastFaultMs: 0,
        proposed: 0,
        fault: undefined,
    };
    const { replicas, network } = cluster;
    const getReplica = (position: number): TestReplica => replicas[position % replicas.length] as TestReplica;

    const watchReplica = (replica: TestReplica): void => {
        replica.log?.watchStatus(status => {
            if (status.role === "leader") {
                const known = state.leaders.get(status.term) ?? replica.id;
                state.leaders.set(status.term, known);
                if (known !== replica.id) {
                    state.fault ??= new Error(`two leaders in term ${status.term}`);
                }
            }
        });
    };
    replicas.forEach(watchReplica);

    const start = Effect.fnUntraced(function*(replica: TestReplica) {
        if (replica.log === undefined) {
            yield* cluster.startReplica(replica.id);
            watchReplica(replica);
        }
    });

    const setCuts = (replica: TestReplica, inbound: boolean, outbound: boolean): void => {
        for (const other of replicas.filter(each => each !== replica)) {
            network.setCut(other.id, replica.id, inbound);
            network.setCut(replica.id, other.id, outbound);
        }
        if (inbound || outbound) {
            state.isolated.add(replica.id);
        }
        else {
            state.isolated.delete(replica.id);
        }
    };

    const healAll = (): void => replicas.forEach(replica => setCuts(replica, false, false));

    const proposeOnce = Effect.fnUntraced(function*(replica: TestReplica) {
        const command = `command-${state.proposed++}`;
        const { scope } = replica;
        if (scope !== undefined) {
            const proposal = Effect.map(Effect.exit(getLog(replica).proposeCommand(command)), exit => {
                if (Exit.isSuccess(exit)) {
                    state.acknowledged.add(command);
                }
            });
            yield* Effect.forkIn(proposal, scope);
        }
    });

    /** Whether the process whose disk was lost last could have caught up: it and a majority of the others were undisturbed. */
    const hasCaughtUp = (nowMs: number): boolean => {
        const isUndisturbed = (replica: TestReplica): boolean =>
            replica.log !== undefined && !state.isolated.has(replica.id);
        const others = replicas.filter(replica => replica.id !== state.lost && isUndisturbed(replica));
        return state.lost === undefined
            || nowMs - state.lastFaultMs >= catchUpMs
                && isUndisturbed(cluster.getReplica(state.lost))
                && others.length > replicas.length / 2;
    };

    const checkReplicas = (): void => {
        if (state.fault !== undefined) {
            throw state.fault as Error;
        }
        for (const replica of replicas.filter(each => each.log !== undefined)) {
            const commands = replica.machine.listCommands();
            const shared = Math.min(commands.length, state.history.length);
            assert.deepEqual(
                commands.slice(0, shared),
                state.history.slice(0, shared),
                `process ${replica.id} applied another sequence`,
            );
            if (commands.length > state.history.length) {
                state.history = [...commands];
            }
            assert.notEqual(getLog(replica).readStatus().role, "stopped", `process ${replica.id} stopped`);
        }
    };

    /** Carries out a fault, or its end; false when there was nothing to do. */
    const applyFault = Effect.fnUntraced(
        function*(action: Exclude<DirectoryAction, { kind: "propose" | "advance"; }>, nowMs: number) {
            switch (action.kind) {
                case "loseDisk": {
                    const replica = getReplica(action.replica);
                    if (replica.id !== state.lost && !hasCaughtUp(nowMs)) {
                        return false;
                    }
                    state.lost = replica.id;
                    yield* cluster.crashReplica(replica.id, 0);
                    replica.memoryDisk.removeAll();
                    yield* TestClock.adjust(action.downMs);
                    yield* start(replica);
                    return true;
                }
                case "crash":
                    yield* cluster.crashReplica(getReplica(action.replica).id, action.keptShare);
                    return true;
                case "restart": {
                    const replica = getReplica(action.replica);
                    const isDown = replica.log === undefined;
                    yield* start(replica);
                    return isDown;
                }
                case "powerLoss":
                    for (const replica of replicas) {
                        yield* cluster.crashReplica(replica.id, action.keptShare);
                    }
                    yield* TestClock.adjust(100);
                    yield* Effect.forEach(replicas, start);
                    return true;
                case "isolate":
                    setCuts(getReplica(action.replica), action.inbound, action.outbound);
                    return action.inbound || action.outbound;
                case "heal": {
                    const replica = getReplica(action.replica);
                    const wasIsolated = state.isolated.has(replica.id);
                    setCuts(replica, false, false);
                    return wasIsolated;
                }
                case "healAll": {
                    const wasCut = state.isolated.size > 0;
                    healAll();
                    return wasCut;
                }
                case "add":
                    if (replicas.some(({ id }) => id === addedProcess)) {
                        return false;
                    }
                    yield* start(cluster.addReplica(addedProcess));
                    return true;
            }
        },
    );

    const runAction = Effect.fnUntraced(function*(action: DirectoryAction, durationMs: number) {
        switch (action.kind) {
            case "propose":
                for (let done = 0; done < action.count; done += 1) {
                    yield* proposeOnce(cluster.findLeader() ?? getReplica(action.replica));
                }
                break;
            case "advance":
                break;
            case "loseDisk":
            case "crash":
            case "restart":
            case "powerLoss":
            case "isolate":
            case "heal":
            case "healAll":
            case "add":
                if (yield* applyFault(action, yield* readMonotonicMs)) {
                    state.lastFaultMs = yield* readMonotonicMs;
                }
                break;
        }
        yield* TestClock.adjust(durationMs);
        checkReplicas();
    });

    const finish = Effect.gen(function*() {
        healAll();
        yield* Effect.forEach(replicas, start);
        yield* TestClock.adjust(recoveryMs);
        checkReplicas();
        const leader = cluster.findLeader();
        assert.ok(leader !== undefined, "no leader after all faults ended");
        assert.deepEqual(listVoterIds(cluster), replicas.map(({ id }) => id).sort(), "voters after all faults ended");
        const before = state.acknowledged.size;
        yield* proposeOnce(leader);
        yield* TestClock.adjust(1_000);
        checkReplicas();
        assert.equal(state.acknowledged.size, before + 1, "no commit after all faults ended");
        for (const { id, machine } of replicas) {
            const applied = machine.listCommands();
            assert.equal(new Set(applied).size, applied.length, `process ${id} applied a command twice`);
            const missing = [...state.acknowledged].filter(command => !applied.includes(command));
            assert.deepEqual(missing, [], `process ${id} lacks acknowledged commands`);
        }
    });

    return { runAction, finish };
}
