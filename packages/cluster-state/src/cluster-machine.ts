import type {
    ClusterState,
    CommandResult,
    ControlCommand,
    ErrorData,
    StateMachine,
    WorkerId,
} from "@chestnutspool/types";
import type { Either } from "purify-ts";
import { createModel, type Model } from "./model.js";
import { applyOperatorChange } from "./operator-changes.js";
import { addShards } from "./ownership-plan.js";
import { beginRequest, finishRequest } from "./request-records.js";
import {
    drainSession,
    expireEntry,
    moveOwnership,
    openSession,
    rebalanceOwnership,
    registerMinion,
    removeMinion,
} from "./session-commands.js";
import { encodeSnapshot, restoreSnapshot, type SnapshotCache } from "./snapshot.js";
import {
    confirmStart,
    endTask,
    placeTask,
    recordCheckpoint,
    rejectTask,
    requestEviction,
    throttleTask,
} from "./task-commands.js";
import { expireWorker, registerWorker, setAsideWorker } from "./worker-commands.js";

/** The state machine of the cluster. */
export interface ClusterMachine extends StateMachine<ControlCommand, CommandResult> {
    /** The current state; the same object for the lifetime of the machine, also after a restore. */
    readonly state: ClusterState;
    /** Returns the workers whose tasks changed since the last call; the control leader notifies their held syncs. */
    readonly takeChangedWorkers: () => readonly WorkerId[];
}

function convertOutcome(model: Model, outcome: Either<ErrorData, number>): CommandResult {
    return outcome.caseOf<CommandResult>({
        Left: error => ({ kind: "refused", index: model.index, error }),
        Right: () => ({ kind: "done", index: model.index }),
    });
}

function applySingleCommand(
    model: Model,
    command: Exclude<ControlCommand, { readonly kind: "batch"; }>,
): CommandResult {
    switch (command.kind) {
        case "operatorChange":
            return applyOperatorChange(model, command);
        case "registerWorker":
            return convertOutcome(model, registerWorker(model, command));
        case "expireWorker":
            return convertOutcome(model, expireWorker(model, command));
        case "setAsideWorker":
            return convertOutcome(model, setAsideWorker(model, command));
        case "placeTask":
            return convertOutcome(model, placeTask(model, command));
        case "confirmStart":
            return convertOutcome(model, confirmStart(model, command));
        case "recordCheckpoint":
            return convertOutcome(model, recordCheckpoint(model, command));
        case "endTask":
            return convertOutcome(model, endTask(model, command));
        case "requestEviction":
            return convertOutcome(model, requestEviction(model, command));
        case "throttleTask":
            return convertOutcome(model, throttleTask(model, command));
        case "rejectTask":
            return convertOutcome(model, rejectTask(model, command));
        case "openSession":
            return convertOutcome(model, openSession(model, command));
        case "expireEntry":
            return convertOutcome(model, expireEntry(model, command));
        case "drainSession":
            return convertOutcome(model, drainSession(model, command));
        case "registerMinion":
            return convertOutcome(model, registerMinion(model, command));
        case "removeMinion":
            return convertOutcome(model, removeMinion(model, command));
        case "rebalanceOwnership":
            return convertOutcome(model, rebalanceOwnership(model));
        case "moveOwnership":
            return convertOutcome(model, moveOwnership(model, command));
        case "beginRequest":
            return beginRequest(model, command);
        case "finishRequest":
            return finishRequest(model, command);
    }
}

function applyOne(model: Model, command: ControlCommand): CommandResult {
    model.clockMs = Math.max(model.clockMs, command.nowMs);
    model.commandMs = command.nowMs;
    if (command.kind === "batch") {
        const results = command.commands.map(inner => applyOne(model, inner));
        return { kind: "batch", index: model.index, results };
    }
    model.sequence += 1;
    return applySingleCommand(model, command);
}

/** Creates the state machine with an empty state. */
export function createClusterMachine(): ClusterMachine {
    const model = createModel();
    const snapshotCache: SnapshotCache = new Map();
    addShards(model);
    return {
        state: model,
        takeChangedWorkers: () => {
            const changed = [...model.touchedWorkers];
            model.touchedWorkers.clear();
            return changed;
        },
        applyCommand: (index, command) => {
            model.index = index;
            const result = applyOne(model, command);
            model.eventOrdinal = 0;
            model.commandMs = 0;
            return result;
        },
        takeSnapshot: () => encodeSnapshot(model, snapshotCache),
        restoreSnapshot: bytes => restoreSnapshot(model, bytes, snapshotCache),
    };
}
