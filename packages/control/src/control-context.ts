import type { ClusterMachine } from "@chestnutspool/cluster-state";
import type { Logger } from "@chestnutspool/logger";
import type { Placer } from "@chestnutspool/place-tasks";
import {
    type Channel,
    type CommandResult,
    type ControlCommand,
    type ControlNotice,
    type ErrorData,
    type PeerLink,
    type ProcessSettings,
    readWallMs,
    type ReplicatedLog,
} from "@chestnutspool/types";
import { Effect } from "effect";
import type { ConditionVariable } from "./condition-variable.js";
import type { LeaderMemory } from "./leader-memory.js";

/** Services that the control role uses. */
export interface ControlDependencies {
    readonly link: PeerLink;
    readonly log: ReplicatedLog<ControlCommand, CommandResult>;
    readonly machine: ClusterMachine;
    readonly placer: Placer;
    readonly logger: Logger;
}

/** State and services that all modules of the control role share. */
export interface ControlContext extends ControlDependencies {
    readonly settings: ProcessSettings;
    readonly notices: Channel<ControlNotice, never>;
    /** Notified after the state has changed. */
    readonly stateChanged: ConditionVariable;
    /** Memory of the current term; undefined unless this replica leads. */
    memory: LeaderMemory | undefined;
    /** Index of the state at the last notification of `stateChanged`. */
    notifiedIndex: number;
    /** Calls in progress. */
    callsInProgress: number;
}

type WithoutTime<Command> = Command extends unknown ? Omit<Command, "nowMs"> : never;

/** A command without `nowMs`, which the leader adds when it proposes the command. */
export type ProposedCommand = WithoutTime<ControlCommand>;

/** Wakes the calls that wait for a change of the state, when the state has changed since the last notification. */
export function notifyChanges(context: ControlContext): void {
    const { machine, memory } = context;
    if (machine.state.index === context.notifiedIndex) {
        return;
    }
    context.notifiedIndex = machine.state.index;
    for (const worker of machine.takeChangedWorkers()) {
        memory?.workers.get(worker)?.changed.notifyAll();
    }
    context.stateChanged.notifyAll();
}

/** Adds the leader's wall-clock time to a command. */
export function createCommand(command: ProposedCommand, nowMs: number): ControlCommand {
    return { ...command, nowMs };
}

/** Proposes a command at the current time. Fails as `proposeCommand` does. */
export const propose = Effect.fnUntraced(function*(context: ControlContext, command: ProposedCommand) {
    const nowMs = yield* readWallMs;
    const result = yield* context.log.proposeCommand(createCommand(command, nowMs));
    notifyChanges(context);
    return result;
});

/** Proposes commands as one batch; the results are in the order of the commands. Without commands nothing is proposed. */
export const proposeAll = Effect.fnUntraced(function*(context: ControlContext, commands: readonly ProposedCommand[]) {
    if (commands.length === 0) {
        return [];
    }
    const nowMs = yield* readWallMs;
    const batch = { kind: "batch", commands: commands.map(command => createCommand(command, nowMs)) } as const;
    const result = yield* propose(context, batch);
    return result.kind === "batch" ? result.results : yield* Effect.fail<ErrorData>(describeUnexpectedResult(result));
});

function describeUnexpectedResult(result: CommandResult): ErrorData {
    return result.kind === "refused"
        ? result.error
        : { kind: "internal", detail: `unexpected result ${result.kind} for a batch` };
}

/**
 * Time in milliseconds after the grant of a lease at which the lease has certainly expired for its holder, although the
 * clock of this process may run faster than the holder's clock by the allowed drift.
 */
export function computeLeaseExpiryMs(settings: ProcessSettings, leaseMs: number, marginMs: number): number {
    return Math.ceil(leaseMs * (1 + settings.leases.clockDriftPercent / 100)) + marginMs;
}
