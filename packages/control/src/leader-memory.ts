import { type ClusterState, type EntryId, type ErrorData, readMonotonicMs, type WorkerId } from "@chestnutspool/types";
import { Effect } from "effect";
import { type ConditionVariable, createConditionVariable } from "./condition-variable.js";
import type { ControlContext } from "./control-context.js";

/** State of an entry session that only the leader holds, in memory. */
export interface SessionMemory {
    readonly incarnation: string;
    renewedAtMs: number;
    appliedRevision: number;
    /** The expiry of the session is proposed; renewals are refused until the outcome is known. */
    expiring: boolean;
}

/** When and with which values directives were last sent for one attempt. */
export interface SentDirectives {
    startedAtMs: number | undefined;
    /** Sequence of the last sync whose reply carried the start; undefined when none did. */
    startSequence: bigint | undefined;
    stoppedAtMs: number | undefined;
    throttlePercent: number | undefined;
}

/** State of a worker that only the leader holds, in memory. */
export interface WorkerMemory {
    readonly incarnation: string;
    syncedAtMs: number;
    /** The expiry of the worker is proposed; syncs are refused until the outcome is known. */
    expiring: boolean;
    /** Ordinal of the last sync; a held call of an earlier sync returns without directives. */
    lastSyncOrdinal: number;
    /** Highest sequence number among the worker's syncs. */
    lastSequence: bigint;
    /** Directives sent for each attempt, by its token. */
    readonly sentByToken: Map<number, SentDirectives>;
    readonly changed: ConditionVariable;
}

/** State of the leader that is not durable; it begins anew with each term. All times are monotonic milliseconds. */
export interface LeaderMemory {
    readonly term: number;
    /** When this replica noticed that it leads the term; every lease granted by an earlier leader began before. */
    readonly termBeganAtMs: number;
    readonly sessions: Map<EntryId, SessionMemory>;
    readonly workers: Map<WorkerId, WorkerMemory>;
    /** Tokens of attempts that an earlier leader may have started; undefined until the first confirmed read of the term. */
    inheritedTokens: ReadonlySet<number> | undefined;
    /** When this leader first saw each configuration revision of its term. */
    readonly revisionSeenAtMs: Map<number, number>;
    /** Configuration revision and ownership version that were pushed last; -1 before the first push. */
    pushedRevision: number;
    pushedOwnershipVersion: number;
    /** Log index at the last scheduling pass. */
    plannedIndex: number;
    plannedAtMs: number;
    /** Whether a worker reported usage since the last scheduling pass. */
    hasNewReports: boolean;
}

function createLeaderMemory(term: number, nowMs: number): LeaderMemory {
    return {
        term,
        termBeganAtMs: nowMs,
        sessions: new Map(),
        workers: new Map(),
        inheritedTokens: undefined,
        revisionSeenAtMs: new Map(),
        pushedRevision: -1,
        pushedOwnershipVersion: -1,
        plannedIndex: -1,
        plannedAtMs: nowMs,
        hasNewReports: false,
    };
}

/** The memory of the current term. Fails with `notLeader` on other replicas. */
export const getLeaderMemory = (context: ControlContext): Effect.Effect<LeaderMemory, ErrorData> =>
    Effect.flatMap(readMonotonicMs, nowMs => {
        const status = context.log.readStatus();
        if (status.role !== "leader") {
            context.memory = undefined;
            return Effect.fail<ErrorData>({ kind: "notLeader", leader: status.leader });
        }
        if (context.memory?.term !== status.term) {
            context.memory = createLeaderMemory(status.term, nowMs);
            context.logger.info("became leader of the control role", { term: status.term });
        }
        return Effect.succeed(context.memory);
    });

/** The leader's state of a worker's incarnation; a new incarnation starts without sent directives. */
export function getWorkerMemory(memory: LeaderMemory, worker: WorkerId, incarnation: string): WorkerMemory {
    const existing = memory.workers.get(worker);
    if (existing?.incarnation === incarnation) {
        return existing;
    }
    const created: WorkerMemory = {
        incarnation,
        syncedAtMs: memory.termBeganAtMs,
        expiring: false,
        lastSyncOrdinal: 0,
        lastSequence: 0n,
        sentByToken: new Map(),
        changed: createConditionVariable(),
    };
    memory.workers.set(worker, created);
    return created;
}

/**
 * Records the tokens of attempts from earlier terms, at the first call in a term. Call it after a confirmed read, when
 * the state has all of them.
 */
export function recordInheritedTokens(memory: LeaderMemory, state: ClusterState): void {
    if (memory.inheritedTokens === undefined) {
        const taskIds = [...state.tasksByWorker.values()].flatMap(ids => [...ids]);
        memory.inheritedTokens = new Set(taskIds.flatMap(id => state.tasks.get(id)?.token ?? []));
    }
}
