import type { AttemptRef, AttemptState, MinionAnnouncement, MinionInfo } from "@chestnutspool/types";

/** What a new owner of a minion knows about the slots in use. */
export interface InitialOwnership {
    /**
     * When all attempts in progress are known: `atOnce` after a hand-over by a live owner, `afterFirst` after the first
     * announcement of a newly registered minion, and `afterEpoch` after the loss of the last owner, with the first
     * announcement of a minion that has seen the new epoch.
     */
    readonly attemptsKnownFrom: "atOnce" | "afterFirst" | "afterEpoch";
    /** Attempts in progress that the last owner named. */
    readonly attempts: readonly AttemptRef[];
}

/** Times of the accounting, in milliseconds. */
export interface SlotTimes {
    /** Time without an announcement after which a minion gets no new work. */
    readonly silenceMs: number;
    /** Longest run of a request of the minion's service. */
    readonly maxRunMs: number;
    /** Margin added to a run lease, for the transit time of the request. */
    readonly leaseMarginMs: number;
    readonly clockDriftPercent: number;
}

/** Slots and connections of one minion, as counted by its owner. */
export interface MinionSlots {
    readonly getInfo: () => MinionInfo;
    readonly getEpoch: () => number;
    /**
     * Slots that may be used now; 0 while the minion is silent, leaving or released, or its attempts in progress are
     * not known yet.
     */
    readonly countFree: (nowMs: number) => number;
    /** Slots in use. */
    readonly countHeld: () => number;
    /** Whether the minion takes new work when a slot is free. */
    readonly isUsable: (nowMs: number) => boolean;
    /** Whether the minion was released or has left; no attempt may be sent any more. */
    readonly isStopped: () => boolean;
    /** Time since the last announcement, or since the ownership began, in milliseconds. */
    readonly computeSilenceMs: (nowMs: number) => number;
    /** Takes a slot for an attempt; false when none is free. */
    readonly openAttempt: (attempt: AttemptRef, nowMs: number) => boolean;
    /** Starts the run lease of an attempt at its dispatch. */
    readonly recordSent: (attempt: string, leaseEndsAtMs: number) => void;
    /**
     * Ends an attempt whose connection is closed. After `maybeRun` the slot stays in use until the run has certainly
     * ended.
     */
    readonly closeAttempt: (attempt: string, state: AttemptState, nowMs: number) => void;
    /** Records an announcement; false when it is older than one that was recorded before. */
    readonly recordAnnouncement: (announcement: MinionAnnouncement, nowMs: number) => boolean;
    /** Ends a handed-over attempt after the host that sent it reported its end. */
    readonly confirmEnd: (attempt: string) => void;
    /** Frees the slots of closed attempts whose run lease has certainly expired. */
    readonly expireLeases: (nowMs: number) => void;
    /** Stops new work permanently, before the minion is released; returns the attempts that hold its slots. */
    readonly releaseMinion: (nowMs: number) => readonly AttemptRef[];
    readonly updateInfo: (info: MinionInfo) => void;
}

interface HeldAttempt {
    readonly ref: AttemptRef;
    readonly leaseEndsAtMs: number;
    /** True while this host has the connection of the attempt. */
    readonly open: boolean;
    /** True once an announcement listed the attempt. */
    readonly listed: boolean;
    /** Number of announcements without the attempt after which a run that was never listed has certainly ended. */
    readonly unlistedLeft: number;
}

/**
 * An attempt that was never listed counts as ended after this number of announcements without it, received under the
 * current epoch after its connection was closed. The first may have been made before the close and arrive
 * after it; the second was made after the answer to the first.
 */
const unlistedAfterClose = 2;
/**
 * Number of such announcements for a handed-over attempt. One is enough, because a minion that has seen the current
 * epoch refuses attempts that were sent under another.
 */
const unlistedAfterMove = 1;

/** Number of earlier incarnations of a minion that are kept, so that their late announcements are dropped. */
const rememberedIncarnations = 8;

/** Monotonic time at which a run that was sent at `sentAtMs` has certainly ended. */
export function computeLeaseEndMs(
    sentAtMs: number,
    leaseMs: number,
    times: Pick<SlotTimes, "leaseMarginMs" | "clockDriftPercent">,
): number {
    return sentAtMs + leaseMs * (1 + times.clockDriftPercent / 100) + times.leaseMarginMs;
}

/** Creates the accounting of a minion that this host has begun to own under an epoch. */
export function createMinionSlots(
    initialInfo: MinionInfo,
    epoch: number,
    start: InitialOwnership,
    times: SlotTimes,
    startedAtMs: number,
    onEnd: (attempt: string) => void = () => undefined,
): MinionSlots {
    let info = initialInfo;
    const held = new Map<string, HeldAttempt>();
    /** False until an announcement lists the attempts that run on the minion. */
    let attemptsAreKnown = start.attemptsKnownFrom === "atOnce";
    let announcedAtMs: number | undefined = attemptsAreKnown ? startedAtMs : undefined;
    let incarnation: string | undefined;
    let sequence = -1;
    const oldIncarnations: string[] = [];
    let stopped = false;

    const addForeignAttempt = (ref: AttemptRef, leaseEndsAtMs: number, listed: boolean): void => {
        held.set(ref.attempt, { ref, leaseEndsAtMs, open: false, listed, unlistedLeft: unlistedAfterMove });
    };
    for (const ref of start.attempts) {
        addForeignAttempt(ref, computeLeaseEndMs(startedAtMs, ref.runLeaseLeftMs, times), false);
    }

    const endAttempt = (attempt: string): void => {
        if (held.delete(attempt)) {
            onEnd(attempt);
        }
    };

    const isUsable = (nowMs: number): boolean =>
        !stopped && attemptsAreKnown && announcedAtMs !== undefined && nowMs - announcedAtMs <= times.silenceMs;
    const countFree = (nowMs: number): number =>
        isUsable(nowMs) ? Math.max(0, Math.min(info.slots, info.connections) - held.size) : 0;

    const isStale = (announcement: MinionAnnouncement): boolean =>
        announcement.incarnation === incarnation
            ? announcement.sequence <= sequence
            : oldIncarnations.includes(announcement.incarnation);

    const startIncarnation = (next: string): void => {
        if (incarnation !== undefined) {
            oldIncarnations.push(incarnation);
            oldIncarnations.splice(0, Math.max(0, oldIncarnations.length - rememberedIncarnations));
        }
        incarnation = next;
    };

    /** Records the attempts that earlier owners left running, from the first announcement that lists all of them. */
    const recordRunning = (running: readonly string[], nowMs: number): void => {
        for (const attempt of running) {
            if (!held.has(attempt)) {
                const ref = { attempt, minion: info.id, shard: -1, tenant: "", requestId: "", runLeaseLeftMs: 0 };
                addForeignAttempt(ref, computeLeaseEndMs(nowMs, times.maxRunMs, times), true);
            }
        }
        attemptsAreKnown = true;
    };

    const updateHeld = (running: ReadonlySet<string>, hasSeenEpoch: boolean): void => {
        for (const [id, attempt] of [...held]) {
            if (running.has(id)) {
                held.set(id, { ...attempt, listed: true });
                continue;
            }
            if (attempt.open) {
                continue;
            }
            const unlistedLeft = attempt.unlistedLeft - (hasSeenEpoch ? 1 : 0);
            held.set(id, { ...attempt, unlistedLeft });
            if (attempt.listed || unlistedLeft <= 0) {
                endAttempt(id);
            }
        }
    };

    return {
        getInfo: () => info,
        getEpoch: () => epoch,
        countFree,
        countHeld: () => held.size,
        isUsable,
        isStopped: () => stopped,
        computeSilenceMs: nowMs => nowMs - (announcedAtMs ?? startedAtMs),
        openAttempt: (ref, nowMs) => {
            if (countFree(nowMs) <= 0 || held.has(ref.attempt)) {
                return false;
            }
            const leaseEndsAtMs = computeLeaseEndMs(nowMs, ref.runLeaseLeftMs, times);
            held.set(ref.attempt, { ref, leaseEndsAtMs, open: true, listed: false, unlistedLeft: unlistedAfterClose });
            return true;
        },
        recordSent: (id, leaseEndsAtMs) => {
            const attempt = held.get(id);
            if (attempt !== undefined) {
                held.set(id, { ...attempt, leaseEndsAtMs });
            }
        },
        closeAttempt: (id, state, nowMs) => {
            const attempt = held.get(id);
            if (attempt === undefined) {
                return;
            }
            if (state !== "maybeRun" || attempt.leaseEndsAtMs <= nowMs) {
                endAttempt(id);
                return;
            }
            held.set(id, { ...attempt, open: false });
        },
        recordAnnouncement: (announcement, nowMs) => {
            if (isStale(announcement)) {
                return false;
            }
            if (announcement.incarnation !== incarnation) {
                startIncarnation(announcement.incarnation);
            }
            sequence = announcement.sequence;
            announcedAtMs = nowMs;
            if (announcement.leaving) {
                // The announcement of a leave does not list attempts.
                stopped = true;
                return true;
            }
            const hasSeenEpoch = announcement.highestEpoch >= epoch;
            if (!attemptsAreKnown && (start.attemptsKnownFrom === "afterFirst" || hasSeenEpoch)) {
                recordRunning(announcement.runningAttempts, nowMs);
            }
            updateHeld(new Set(announcement.runningAttempts), hasSeenEpoch);
            return true;
        },
        confirmEnd: id => {
            if (held.get(id)?.open === false) {
                endAttempt(id);
            }
        },
        expireLeases: nowMs => {
            for (const [id, attempt] of [...held]) {
                if (!attempt.open && attempt.leaseEndsAtMs <= nowMs) {
                    endAttempt(id);
                }
            }
        },
        releaseMinion: nowMs => {
            stopped = true;
            return [...held.values()].map(({ ref, leaseEndsAtMs }) => ({
                ...ref,
                runLeaseLeftMs: Math.max(0, Math.ceil(leaseEndsAtMs - nowMs)),
            }));
        },
        updateInfo: next => {
            info = next;
        },
    };
}
