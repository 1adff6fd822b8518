import type { JobMachine } from "@chestnutspool/job-state";
import type { ErrorData, JobCommand, JobResult, PeerId, ReplicaStatus, ReplicatedLog } from "@chestnutspool/types";
import { Effect } from "effect";

/** Time that a commit takes, in milliseconds. */
const commitMs = 5;
/** Time that a transfer of the leadership takes, in milliseconds. */
const transferMs = 20;

/** A replicated log with one shared state, whose leader the test sets. */
export interface TestLog {
    /** Creates the log of one replica. */
    readonly createReplica: (self: PeerId) => ReplicatedLog<JobCommand, JobResult>;
    /** Makes a replica the leader of the next term; the previous leader stops leading at once. */
    readonly setLeader: (self: PeerId | undefined) => void;
    /** Makes a replica the leader of the next term; the previous leader does not learn of it until the next change. */
    readonly setLeaderUnnoticed: (self: PeerId) => void;
}

/** Creates a log whose replicas all share one state machine. */
export function createTestLog(machine: JobMachine): TestLog {
    let leader: PeerId | undefined;
    let term = 0;
    /** A replica that still believes that it leads the term before. */
    let deposed: PeerId | undefined;
    let index = 0;
    const replicas: PeerId[] = [];
    /** Whether the leader hands over its leadership; it takes no commands meanwhile. */
    let isTransferring = false;
    const listeners = new Set<() => void>();
    const setLeader = (next: PeerId | undefined): void => {
        deposed = undefined;
        leader = next;
        term += 1;
        listeners.forEach(notify => notify());
    };
    const createStatus = (self: PeerId): ReplicaStatus => ({
        self,
        identity: self,
        role: leader === self || deposed === self ? "leader" : "follower",
        term: deposed === self ? term - 1 : term,
        leader,
        lastIndex: index,
        commitIndex: index,
        appliedIndex: index,
        snapshotIndex: 0,
        members: [],
    });
    return {
        createReplica: self => {
            const checkLeader = Effect.suspend(() =>
                leader === self ? Effect.void : Effect.fail<ErrorData>({ kind: "notLeader", leader })
            );
            replicas.push(self);
            return {
                proposeCommand: command =>
                    Effect.gen(function*() {
                        yield* checkLeader;
                        if (isTransferring) {
                            return yield* Effect.fail<ErrorData>({ kind: "notLeader", leader: undefined });
                        }
                        const proposedIn = term;
                        yield* Effect.sleep(commitMs);
                        if (term !== proposedIn) {
                            return yield* Effect.fail<ErrorData>({ kind: "outcomeUnknown", subject: "a command" });
                        }
                        index += 1;
                        return machine.applyCommand(index, command);
                    }),
                confirmRead: Effect.andThen(checkLeader, Effect.sleep(1)),
                readStatus: () => createStatus(self),
                isLeading: () => leader === self || deposed === self,
                readTimeSinceContactMs: () => 0,
                readLeaderContactMs: () => undefined,
                readStorageStatus: () => ({ state: "working", storedBytes: 0 }),
                watchStatus: listener => {
                    const notify = (): void => listener(createStatus(self));
                    listeners.add(notify);
                    notify();
                    return () => {
                        listeners.delete(notify);
                    };
                },
                transferLeadership: Effect.gen(function*() {
                    yield* checkLeader;
                    const target = replicas.find(replica => replica !== self);
                    if (target === undefined) {
                        return yield* Effect.fail<ErrorData>({
                            kind: "notFound",
                            object: "other voting member",
                            id: self,
                        });
                    }
                    const startedIn = term;
                    isTransferring = true;
                    yield* Effect.ensuring(
                        Effect.sleep(transferMs),
                        Effect.sync(() => {
                            isTransferring = false;
                        }),
                    );
                    if (term === startedIn) {
                        setLeader(target);
                    }
                }),
                changeMembers: () => Effect.void,
            };
        },
        setLeader,
        setLeaderUnnoticed: next => {
            deposed = leader;
            leader = next;
            term += 1;
            listeners.forEach(notify => notify());
        },
    };
}
