import type { PeerId, ReplicaStatus, ReplicatedLog, StateMachine } from "@chestnutspool/types";
import { Effect } from "effect";

/** A log of one replica without storage, for tests of packages that use a log. Each command is applied at once. */
export function createMemoryLog<Command, Result>(
    self: PeerId,
    machine: StateMachine<Command, Result>,
): ReplicatedLog<Command, Result> {
    let index = 0;
    const readStatus = (): ReplicaStatus => ({
        self,
        identity: self,
        role: "leader",
        term: 1,
        leader: self,
        lastIndex: index,
        commitIndex: index,
        appliedIndex: index,
        snapshotIndex: 0,
        members: [{ id: self, address: "memory", replicaIdentity: self, votes: true }],
    });
    return {
        proposeCommand: command =>
            Effect.sync(() => {
                index += 1;
                return machine.applyCommand(index, command);
            }),
        confirmRead: Effect.void,
        readStatus,
        isLeading: () => true,
        readTimeSinceContactMs: () => 0,
        readLeaderContactMs: () => undefined,
        readStorageStatus: () => ({ state: "working", storedBytes: 0 }),
        watchStatus: listener => {
            listener(readStatus());
            return () => undefined;
        },
        transferLeadership: Effect.void,
        changeMembers: () => Effect.void,
    };
}
