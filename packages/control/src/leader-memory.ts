import { type ClusterState, type EntryId, type ErrorData, readMonotonicMs, type WorkerId } from "@chestnutspool/types";
import { Effect } from "effect";
import { type ConditionVariable, createConditionVariable } from "./condition-variable.js";
import type { ControlContext } from "./context.js";

/** What the leader knows of an entry session beside the durable state. */
export interface SessionMemory {
    readonly incarnation: string;
    renewedAtMs: number;
    appliedRevision: number;
    /** Its expiry is proposed; renewals are refused until the outcome is known. */
    expiring: boolean;
}

/** Directives that were sent for one attempt. */
export interface SentDirectives {
    startedAtMs: number | undefined;
    /** Sequence of the last sync whose reply carried the start; undefined when none did. */
    startSequence: bigint | undefined;
    stoppedAtMs: number | undefined;
    throttlePercent: number | undefined;
}

/** What the leader knows of a worker beside the durable state. */
export interface WorkerMemory {
    readonly incarnation: string;
    syncedAtMs: number;
    expiring: boolean;
    /** Ordinal of the last sync; an earlier one that is still held ends without directives. */
    lastSync: number;
    /** Highest sequence that the worker gave to a sync. */
    lastSequence: bigint;
    /** By token. */
    readonly sent: Map<number, SentDirectives>;
    readonly changed: ConditionVariable;
}

/** State of the leader that is not durable; it begins anew with each term. All times are monotonic milliseconds. */
export interface LeaderMemory {
    readonly term: number;
    /** When this replica found itself leader of the term; no lease granted by an earlier leader began later. */
    readonly termBeganAtMs: number;
    readonly sessions: Map<EntryId, SessionMemory>;
    readonly workers: Map<WorkerId, WorkerMemory>;
    /** Tokens whose start an earlier leader may have sent; undefined until the first confirmed read of the term. */
    inheritedTokens: ReadonlySet<number> | undefined;
    /** When each configuration revision of this term was seen first. */
    readonly revisionSeenAtMs: Map<number, number>;
    /** Revision and version that were pushed last. */
    pushedRevision: number;
    pushedOwnershipVersion: number;
    /** Log index at the last scheduling pass. */
    plannedIndex: number;
    plannedAtMs: number;
    reportsArrived: boolean;
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
        reportsArrived: false,
    };
}

/** The memory of the present term. Fails with `notLeader` on other replicas. */
export const getLeaderMemory = (context: ControlContext): Effect.Effect<LeaderMemory, ErrorData> =>
    Effect.flatMap(readMonotonicMs, nowMs => {
        const status = context.log.readStatus();
        if (status.role !== "leader") {
            context.memory = undefined;
            return Effect.fail<ErrorData>({ kind: "notLeader", leader: status.leader });
        }
        if (context.memory?.term !== status.term) {
            context.memory = createLeaderMemory(status.term, nowMs);
            context.logger.info("leads the control role", { term: status.term });
        }
        return Effect.succeed(context.memory);
    });

/** The memory of a worker's incarnation; a new incarnation starts without sent directives. */
export function getWorkerMemory(memory: LeaderMemory, worker: WorkerId, incarnation: string): WorkerMemory {
    const existing = memory.workers.get(worker);
    if (existing?.incarnation === incarnation) {
        return existing;
    }
    const created: WorkerMemory = {
        incarnation,
        syncedAtMs: memory.termBeganAtMs,
        expiring: false,
        lastSync: 0,
        lastSequence: 0n,
        sent: new Map(),
        changed: createConditionVariable(),
    };
    memory.workers.set(worker, created);
    return created;
}

/** Notes the attempts of earlier terms; to be called after a confirmed read, which shows all of them. */
export function recordInheritedTokens(memory: LeaderMemory, state: ClusterState): void {
    if (memory.inheritedTokens === undefined) {
        const charged = [...state.tasksByWorker.values()].flatMap(ids => [...ids]);
        memory.inheritedTokens = new Set(charged.flatMap(id => state.tasks.get(id)?.token ?? []));
    }
}
