import type { Logger } from "@chestnutspool/logger";
import type { Metrics } from "@chestnutspool/record-metrics";
import type { PeerId, RelayedAnswer, RelayedCall, WorkerCall, WorkerCallMessage, WorkerId } from "@chestnutspool/types";
import { type Batch, createBatch, type ScheduleFlush } from "./batch.js";
import { chooseRelay, rankRelays, type RelayedWorker } from "./choose-relay.js";
import { advanceRunningMs, findRelayFault, type RelayFault } from "./relay-health.js";
import { takePayloads } from "./share-payloads.js";

/**
 * Time beyond the limit of a call until it counts as lost, in milliseconds. Running time advances in steps of a probe
 * interval, and the answer needs a few milliseconds.
 */
const answerGraceMs = 250;
/**
 * Time for which a relay that could not reach a worker is not used for it, in milliseconds; they may be cut off from
 * each other while others reach the worker.
 */
const avoidMs = 10_000;
/**
 * Time for which a relay that dropped a call as late is not used, in milliseconds. It measures delays anew in less; a
 * lease lasts longer, so that the calls that other relays or the leader make meanwhile renew it.
 */
const lateRestMs = 2_000;
/** Largest number of calls in a message; with the largest payloads and checkpoints it stays below the limit of a frame. */
const callsPerMessage = 400;
/** Number of workers whose ranking of relays is kept; three times the workers of the largest planned deployment. */
const rankingLimit = 4_000;

type Answer = RelayedAnswer["answer"];

/** How long a call may take, in milliseconds. */
export interface CallTimes {
    /** Time from the sending of the call until its answer. */
    readonly limitMs: number;
    /** Time for which the call waits for others before it is sent, and its answer as well; 0 if neither waits. */
    readonly patienceMs: number;
}

/** A control process to which the leader may hand calls. */
export interface RelayAddress {
    readonly id: PeerId;
    /** IP address and port of its peer link. */
    readonly address: string;
}

interface PendingCall {
    readonly worker: WorkerId;
    /** Running time at which the call counts as lost. */
    readonly expiresAtMs: number;
    readonly settle: (answer: Answer) => void;
    /** When it was added to the outbox, in monotonic milliseconds. */
    readonly addedAtMs: number;
    isSent: boolean;
}

interface Relay {
    readonly id: PeerId;
    availabilityZone: string | undefined;
    /** Running time of the last message from the relay; undefined before the first. */
    heardAtMs: number | undefined;
    isUsable: boolean;
    /** Running time until which the relay is not used because it dropped a call as late. */
    restsUntilMs: number;
    /** Whether the process has announced that it is about to stop. */
    isLeaving: boolean;
    /** Whether it reads the payloads that the start orders of a message share. */
    sharesPayloads: boolean;
    readonly pending: Map<number, PendingCall>;
    readonly outbox: Batch<RelayedCall>;
}

/** Dependencies of a relay pool. */
export interface RelayPoolDependencies {
    /** Identity of this run of the process; no other run has the same. */
    readonly incarnation: string;
    /** Sends a message to a relay; false when it was certainly not sent. */
    readonly sendMessage: (relay: PeerId, message: WorkerCallMessage) => boolean;
    readonly isConnected: (relay: PeerId) => boolean;
    /** Monotonic time in milliseconds, with which messages are stamped. */
    readonly readNowMs: () => number;
    readonly scheduleFlush: ScheduleFlush;
    readonly logger: Logger;
    readonly metrics: Metrics;
}

/** The relays of a leader and the calls in progress there. */
export interface RelayPool {
    /** Finds the relay for the next call to a worker; undefined when no relay is usable. */
    readonly findRelay: (worker: RelayedWorker) => PeerId | undefined;
    /** Hands a call to a relay; `settle` is called once unless the call is cancelled by the returned function. */
    readonly startCall: (
        relay: PeerId,
        worker: RelayedWorker,
        call: WorkerCall,
        times: CallTimes,
        settle: (answer: Answer) => void,
    ) => () => void;
    /** Has the connections to a worker closed where they are. */
    readonly closeConnections: (worker: RelayedWorker) => void;
    readonly handleAnswers: (from: PeerId, message: Extract<WorkerCallMessage, { kind: "answers"; }>) => void;
    /**
     * Takes over the list of relays, decides which are usable, settles lost calls and sends probes. To be called every
     * `probeIntervalMs`, and when the list has changed. The list is undefined while this process does not lead: then no
     * relay is used, and calls in progress are left to end.
     */
    readonly advance: (relays: readonly RelayAddress[] | undefined, nowMs: number) => void;
    readonly countUsable: () => number;
    /** Number of calls that have no answer yet. */
    readonly countPending: () => number;
}

/** Creates a pool without relays. */
export function createRelayPool(dependencies: RelayPoolDependencies): RelayPool {
    const { incarnation, sendMessage, isConnected, readNowMs, scheduleFlush, logger, metrics } = dependencies;
    const relays = new Map<PeerId, Relay>();
    const rankings = new Map<WorkerId, readonly PeerId[]>();
    const avoided = new Map<WorkerId, { readonly relay: PeerId; readonly untilMs: number; }>();
    /** Whether this process does not lead. */
    let isResting = true;
    let runningMs = 0;
    let advancedAtMs: number | undefined;
    let nextId = 1;

    const countCalls = (name: string, count: number): void => {
        if (count > 0) {
            metrics.countEvent(`workerCalls.${name}`, "", "", count);
        }
    };

    const settleCall = (relay: Relay, id: number, answer: Answer): void => {
        const call = relay.pending.get(id);
        if (call !== undefined) {
            relay.pending.delete(id);
            call.settle(answer);
        }
    };

    const sendCalls = (relay: Relay, calls: readonly RelayedCall[]): void => {
        const content = relay.sharesPayloads ? takePayloads(calls) : { calls };
        // The time for which they have waited counts, so that the relay drops them if this process was suspended meanwhile.
        const sentAtMs = calls.reduce(
            (earliestMs, { id }) => Math.min(earliestMs, relay.pending.get(id)?.addedAtMs ?? earliestMs),
            readNowMs(),
        );
        const isSent = sendMessage(relay.id, { kind: "calls", incarnation, sentAtMs, ...content });
        if (isSent) {
            countCalls("relayed", calls.length);
        }
        for (const { id } of calls) {
            const call = relay.pending.get(id);
            if (call !== undefined && isSent) {
                call.isSent = true;
            }
            else {
                settleCall(relay, id, { kind: "notSent", detail: `relay ${relay.id} is not connected` });
            }
        }
    };

    const addRelay = (id: PeerId): void => {
        const relay: Relay = {
            id,
            availabilityZone: undefined,
            heardAtMs: undefined,
            isUsable: false,
            restsUntilMs: 0,
            isLeaving: false,
            sharesPayloads: false,
            pending: new Map(),
            outbox: createBatch(callsPerMessage, calls => sendCalls(relay, calls), scheduleFlush),
        };
        relays.set(id, relay);
        rankings.clear();
    };

    const stopUsing = (relay: Relay, reason: RelayFault | "removed"): void => {
        relay.outbox.drop();
        const lost = [...relay.pending.values()].filter(call => call.isSent).length;
        if (relay.isUsable) {
            logger.warn("relay is not used", { relay: relay.id, reason, callsInProgress: relay.pending.size, lost });
        }
        relay.isUsable = false;
        // The process that comes back may be of an earlier build.
        relay.sharesPayloads = false;
        countCalls("lost", lost);
        for (const [id, { isSent }] of [...relay.pending]) {
            settleCall(relay, id, {
                kind: isSent ? "unknown" : "notSent",
                detail: `relay ${relay.id} is not used: ${reason}`,
            });
        }
    };

    const findFault = (relay: Relay): RelayFault | undefined =>
        findRelayFault({
            isConnected: isConnected(relay.id),
            silentMs: relay.heardAtMs === undefined ? undefined : runningMs - relay.heardAtMs,
        });

    const updateUsable = (relay: Relay): void => {
        const fault = findFault(relay);
        if (fault !== undefined) {
            if (relay.isUsable || relay.pending.size > 0) {
                stopUsing(relay, fault);
            }
        }
        else if (!relay.isUsable) {
            relay.isUsable = true;
            logger.info("relay is used", { relay: relay.id, zoneOfRelay: relay.availabilityZone });
        }
    };

    const expireCalls = (relay: Relay): void => {
        let expired = 0;
        for (const [id, call] of relay.pending) {
            if (call.expiresAtMs <= runningMs) {
                expired += 1;
                settleCall(relay, id, { kind: "unknown", detail: `no answer from relay ${relay.id}` });
            }
        }
        countCalls("lost", expired);
    };

    // The calls in progress are left to end, because those that were not late are carried out.
    const recordLateDrops = (relay: Relay, dropped: number): void => {
        if (dropped === 0) {
            return;
        }
        if (relay.restsUntilMs <= runningMs) {
            logger.warn("relay is not used for a while because it dropped late calls", { relay: relay.id, dropped });
        }
        relay.restsUntilMs = runningMs + lateRestMs;
        countCalls("late", dropped);
    };

    const recordLeaving = (relay: Relay, isLeaving: boolean): void => {
        if (isLeaving && !relay.isLeaving) {
            logger.info("relay gets no further calls because it is about to stop", {
                relay: relay.id,
                callsInProgress: relay.pending.size,
            });
        }
        relay.isLeaving = isLeaving;
    };

    const updateRelays = (listed: readonly RelayAddress[]): void => {
        const ids = new Set(listed.map(({ id }) => id));
        for (const relay of relays.values()) {
            if (!ids.has(relay.id)) {
                stopUsing(relay, "removed");
                relays.delete(relay.id);
                rankings.clear();
            }
        }
        for (const id of ids) {
            if (!relays.has(id)) {
                addRelay(id);
            }
        }
    };

    const stopUsingAll = (): void => {
        const used = [...relays.values()].filter(relay => relay.isUsable);
        if (used.length > 0) {
            logger.info("relays are not used while this process does not lead", { relays: used.length });
        }
        for (const relay of relays.values()) {
            relay.isUsable = false;
            relay.heardAtMs = undefined;
        }
        isResting = true;
    };

    const getRanking = (worker: RelayedWorker): readonly PeerId[] => {
        const known = rankings.get(worker.id);
        if (known !== undefined) {
            return known;
        }
        if (rankings.size >= rankingLimit) {
            rankings.clear();
        }
        const ranking = rankRelays(worker, [...relays.values()]);
        rankings.set(worker.id, ranking);
        return ranking;
    };

    const isUsable = (id: PeerId): boolean => {
        const relay = relays.get(id);
        return relay?.isUsable === true && !relay.isLeaving && relay.restsUntilMs <= runningMs && isConnected(id);
    };
    const findRelay = (worker: RelayedWorker): PeerId | undefined =>
        chooseRelay(getRanking(worker), isUsable, avoided.get(worker.id)?.relay);

    const addCall = (
        relay: Relay,
        worker: RelayedWorker,
        call: WorkerCall,
        { limitMs, patienceMs }: CallTimes,
    ): number => {
        const id = nextId;
        nextId += 1;
        const patience = patienceMs === 0 ? {} : { patienceMs };
        relay.outbox.add(
            { id, worker: { id: worker.id, address: worker.address }, limitMs, call, ...patience },
            patienceMs,
        );
        return id;
    };

    return {
        findRelay,
        startCall: (relayId, worker, call, times, settle) => {
            const relay = relays.get(relayId);
            if (relay === undefined) {
                settle({ kind: "notSent", detail: `relay ${relayId} is not known` });
                return () => undefined;
            }
            const id = addCall(relay, worker, call, times);
            const expiresAtMs = runningMs + times.limitMs + answerGraceMs;
            relay.pending.set(id, { worker: worker.id, expiresAtMs, settle, addedAtMs: readNowMs(), isSent: false });
            return () => {
                relay.pending.delete(id);
            };
        },
        closeConnections: worker => {
            // The relay that failed last may have other connections than the one for the next call.
            for (const id of new Set([avoided.get(worker.id)?.relay, findRelay(worker)])) {
                const relay = id === undefined ? undefined : relays.get(id);
                if (relay !== undefined && isUsable(relay.id)) {
                    addCall(relay, worker, { kind: "closeConnections" }, { limitMs: 0, patienceMs: 0 });
                }
            }
        },
        handleAnswers: (from, message) => {
            const relay = relays.get(from);
            if (relay === undefined || message.incarnation !== incarnation) {
                return;
            }
            if (relay.availabilityZone !== message.availabilityZone) {
                relay.availabilityZone = message.availabilityZone;
                rankings.clear();
            }
            if (!isResting) {
                relay.heardAtMs = runningMs;
                updateUsable(relay);
            }
            recordLeaving(relay, message.isLeaving === true);
            relay.sharesPayloads = message.sharesPayloads === true;
            recordLateDrops(relay, message.answers.filter(({ isLate }) => isLate === true).length);
            for (const { id, answer } of message.answers) {
                const call = relay.pending.get(id);
                if (call !== undefined && (answer.kind === "notSent" || answer.kind === "unknown")) {
                    avoided.set(call.worker, { relay: from, untilMs: runningMs + avoidMs });
                }
                settleCall(relay, id, answer);
            }
        },
        advance: (listed, nowMs) => {
            runningMs = advanceRunningMs(runningMs, nowMs - (advancedAtMs ?? nowMs));
            advancedAtMs = nowMs;
            if (listed === undefined) {
                stopUsingAll();
            }
            else {
                isResting = false;
                updateRelays(listed);
                for (const relay of relays.values()) {
                    updateUsable(relay);
                    sendMessage(relay.id, { kind: "calls", incarnation, sentAtMs: nowMs, calls: [] });
                }
            }
            for (const relay of relays.values()) {
                expireCalls(relay);
            }
            for (const [worker, { untilMs }] of avoided) {
                if (untilMs <= runningMs) {
                    avoided.delete(worker);
                }
            }
        },
        countUsable: () => [...relays.keys()].filter(isUsable).length,
        countPending: () => [...relays.values()].reduce((sum, relay) => sum + relay.pending.size, 0),
    };
}
