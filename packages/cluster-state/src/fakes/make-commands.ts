import {
    type ClusterState,
    computeShard,
    type ControlCommand,
    type ErrorData,
    type OperatorChange,
} from "@chestnutspool/types";
import assert from "node:assert/strict";
import { type ClusterMachine, createClusterMachine } from "../index.js";
import { makeSpec } from "./random-commands.js";

type WithoutTime<Command> = Command extends unknown ? Omit<Command, "nowMs"> : never;

/** A state machine with a log index that counts up and a clock that tests set. */
export interface Driver {
    readonly machine: ClusterMachine;
    readonly state: ClusterState;
    nowMs: number;
    /** Applies a command and returns its result. */
    readonly apply: (command: WithoutTime<ControlCommand>) => ReturnType<ClusterMachine["applyCommand"]>;
    /** Applies an operator's change under a request id. */
    readonly change: (id: string, change: OperatorChange) => ReturnType<ClusterMachine["applyCommand"]>;
}

/** Creates a machine with one tenant. */
export function makeDriver(): Driver {
    const machine = createClusterMachine();
    let index = 0;
    const driver: Driver = {
        machine,
        state: machine.state,
        nowMs: 1_000,
        apply: command => {
            index += 1;
            return machine.applyCommand(index, { ...command, nowMs: driver.nowMs });
        },
        change: (operatorRequestId, change) => driver.apply({ kind: "operatorChange", operatorRequestId, change }),
    };
    const quota = { milliCpu: 9_000, memoryMib: 9_000, accelerators: 9 };
    driver.change("tenant", { kind: "applyTenant", tenant: "hakata", quota, weight: 1, expectedRevision: 0 });
    return driver;
}

/** A change that creates or replaces work of the tenant. */
export function makeApplyWork(name: string, size: number, expectedRevision: number): OperatorChange {
    return { kind: "applyWork", spec: makeSpec(name, size), expectedRevision };
}

/** Opens a session of an entry host in an availability zone. */
export function openEntry(driver: Driver, entry: string, availabilityZone = "a", incarnation = "first"): void {
    const session = { entry, incarnation, peerAddress: "10.0.0.1:1", availabilityZone, draining: false };
    assert.equal(driver.apply({ kind: "openSession", session }).kind, "done");
}

/** Registers a worker with the given number of cores. */
export function registerWorker(driver: Driver, worker: string, incarnation: string, cores = 4) {
    const capacity = { milliCpu: cores * 1_000, memoryMib: 4_096, accelerators: 4 };
    return driver.apply({ kind: "registerWorker", worker, incarnation, availabilityZone: "a", rack: "r", capacity });
}

/** Places a task and returns its token. */
export function placeTask(driver: Driver, task: string, worker: string): number {
    const previousToken = driver.state.tasks.get(task)?.token ?? 0;
    assert.equal(driver.apply({ kind: "placeTask", task, worker, previousToken }).kind, "done");
    return driver.state.tasks.get(task)?.token ?? 0;
}

/** The error of a refused command. */
export function getRefusal(result: ReturnType<ClusterMachine["applyCommand"]>): ErrorData {
    assert.equal(result.kind, "refused");
    return result.error;
}

/** Makes the fields of a non-idempotent request from the current owner of its shard. */
export function makeRequest(driver: Driver, requestId: string, bodyCrc32 = 1) {
    const owner = driver.state.ownership.get(`shard:${computeShard("hakata", requestId)}`);
    return {
        tenant: "hakata",
        requestId,
        bodyCrc32,
        bodyLength: 3,
        entry: owner?.owner ?? "",
        epoch: owner?.epoch ?? 0,
    };
}
