import {
    type Channel,
    type EntryReply,
    type EntryRequest,
    type ErrorData,
    type MinionAnnouncement,
    type MinionInfo,
} from "@chestnutspool/types";
import { Effect } from "effect";
import type { ControlClient } from "./control-client.js";
import type { EntryContext } from "./entry-context.js";
import type { OwnedItems } from "./owned-items.js";
import type { OwnershipView } from "./ownership-view.js";
import type { SlotAllocator } from "./slot-allocator.js";

/** Answer to the announcement of a minion. */
export interface AnnouncementAnswer {
    readonly epoch: number;
    readonly announceAgainMs: number;
}

/** Routes announcements of minions to the entry hosts that own the minions. */
export interface Announcements {
    /** Handles an announcement that a minion sent to this host. */
    readonly receiveAnnouncement: (announcement: MinionAnnouncement) => Effect.Effect<AnnouncementAnswer, ErrorData>;
    /**
     * Handles the leave of a minion; succeeds once its owner starts no more work on it, with the number of attempts
     * still in progress.
     */
    readonly receiveLeave: (minion: string, incarnation: string) => Effect.Effect<number, ErrorData>;
    /** Handles an announcement that another host forwarded to this owner. */
    readonly handleForwarded: (announcement: MinionAnnouncement) => Effect.Effect<EntryReply, ErrorData>;
    /** Removes own minions that have been silent for too long and have no attempts in progress. */
    readonly removeSilent: () => void;
}

/** Dependencies of the announcements. */
export interface AnnouncementDependencies {
    readonly view: OwnershipView;
    readonly items: OwnedItems;
    readonly allocator: SlotAllocator;
    readonly control: ControlClient;
    readonly channel: Channel<EntryRequest, EntryReply>;
    readonly renewNow: () => void;
}

/** Interval of the announcements of a minion that gets work, in milliseconds. */
const announceIntervalMs = 1_000;
/**
 * Interval of announcements while the owner sends the minion no work, in milliseconds; for example until the minion
 * confirms a new epoch.
 */
const announceSoonMs = 50;
/** Time limit of each call that an announcement causes, and of the wait for a map with the minion, in milliseconds. */
const callLimitMs = 2_000;
/** Interval at which the ownership map is checked for a newly registered minion, in milliseconds. */
const ownerPollMs = 20;
/** Longest time that a host waits for the ownership map that makes it the owner, in milliseconds. */
const ownerWaitMs = 1_000;
/** Silence after which a minion is removed, in milliseconds; it registers again with its next announcement. */
const removeAfterSilenceMs = 60_000;
/** Sequence number of a leave; higher than that of any announcement of the minion. */
const leaveSequence = Number.MAX_SAFE_INTEGER;

function isSameInfo(left: MinionInfo, right: MinionInfo): boolean {
    return left.service === right.service && left.address === right.address
        && left.availabilityZone === right.availabilityZone && left.slots === right.slots
        && left.connections === right.connections;
}

/** Creates the handlers of announcements. */
export function createAnnouncements(context: EntryContext, dependencies: AnnouncementDependencies): Announcements {
    const { view, items, allocator, control, channel } = dependencies;

    const rejectWithoutOwner = (minion: string): Effect.Effect<never, ErrorData> =>
        Effect.fail({ kind: "timeout", operation: `wait for an owner of minion ${minion}`, limitMs: callLimitMs });

    /** Registers a new or changed minion, and waits until this host has an ownership map that contains it. */
    const registerMinion = Effect.fnUntraced(function*(info: MinionInfo) {
        const known = view.findMinion(info.id);
        if (known !== undefined && isSameInfo(known, info)) {
            return;
        }
        const reply = yield* control.callLeader({ kind: "registerMinion", minion: info }, callLimitMs, "always");
        if (reply.kind === "result" && reply.result.kind === "refused") {
            return yield* Effect.fail(reply.result.error);
        }
        dependencies.renewNow();
        const endsAtMs = context.readNowMs() + callLimitMs;
        while (true) {
            const registered = view.findMinion(info.id);
            if (registered !== undefined && isSameInfo(registered, info)) {
                return;
            }
            if (context.readNowMs() >= endsAtMs) {
                return yield* rejectWithoutOwner(info.id);
            }
            yield* Effect.sleep(ownerPollMs);
        }
    });

    const recordOwnAnnouncement = (
        announcement: MinionAnnouncement,
    ): Extract<EntryReply, { kind: "announced"; }> | undefined => {
        const { id, service } = announcement.minion;
        const minion = items.findMinion(id);
        if (minion === undefined) {
            return undefined;
        }
        const nowMs = context.readNowMs();
        minion.slots.recordAnnouncement(announcement, nowMs);
        allocator.dispatchQueue(service);
        const acceptsWork = minion.isOwned && minion.slots.isUsable(nowMs);
        const attemptsInProgress = minion.slots.countHeld();
        return { kind: "announced", epoch: minion.slots.getEpoch(), acceptsWork, attemptsInProgress };
    };

    const callOwner = Effect.fnUntraced(function*(announcement: MinionAnnouncement) {
        const { id } = announcement.minion;
        const owner = view.findRecord({ kind: "minion", minion: id })?.owner;
        if (owner === undefined) {
            return yield* rejectWithoutOwner(id);
        }
        const own = owner === context.self ? recordOwnAnnouncement(announcement) : undefined;
        if (own !== undefined) {
            return own;
        }
        const reply = yield* channel.callPeer(owner, { kind: "announceMinion", announcement }, callLimitMs);
        if (reply.kind === "announced") {
            return reply;
        }
        return yield* reply.kind === "error" ? Effect.fail(reply.error) : rejectWithoutOwner(id);
    });

    const receiveAnnouncement: Announcements["receiveAnnouncement"] = Effect.fnUntraced(function*(announcement) {
        yield* registerMinion(announcement.minion);
        const { epoch, acceptsWork } = yield* callOwner(announcement);
        return { epoch, announceAgainMs: acceptsWork ? announceIntervalMs : announceSoonMs };
    });

    /** Removes a minion that has left; its attempts in progress keep their slots at the owner until they end. */
    const removeMinion = (minion: string): void => {
        context.runInBackground(
            Effect.asVoid(control.callLeader({ kind: "removeMinion", minion }, callLimitMs, "always")),
        );
    };

    const receiveLeave: Announcements["receiveLeave"] = Effect.fnUntraced(function*(minion, incarnation) {
        const info = view.findMinion(minion);
        if (info === undefined) {
            return yield* Effect.fail<ErrorData>({ kind: "notFound", object: "minion", id: minion });
        }
        const { acceptsWork, attemptsInProgress } = yield* callOwner({
            minion: info,
            leaving: true,
            runningAttempts: [],
            highestEpoch: 0,
            sequence: leaveSequence,
            incarnation,
        });
        // The leave of an earlier incarnation must not remove the current one.
        if (!acceptsWork) {
            removeMinion(minion);
        }
        return attemptsInProgress;
    });

    return {
        receiveAnnouncement,
        receiveLeave,
        handleForwarded: Effect.fnUntraced(function*(announcement) {
            // The sender may have seen a newer ownership map than this host.
            const endsAtMs = context.readNowMs() + ownerWaitMs;
            while (true) {
                const reply = recordOwnAnnouncement(announcement);
                if (reply !== undefined) {
                    return reply;
                }
                if (context.readNowMs() >= endsAtMs) {
                    return yield* rejectWithoutOwner(announcement.minion.id);
                }
                yield* Effect.sleep(ownerPollMs);
            }
        }),
        removeSilent: () => {
            const nowMs = context.readNowMs();
            for (const { slots } of items.listAllMinions()) {
                if (slots.computeSilenceMs(nowMs) > removeAfterSilenceMs && slots.countHeld() === 0) {
                    context.logger.info("silent minion removed", { minion: slots.getInfo().id });
                    removeMinion(slots.getInfo().id);
                }
            }
        },
    };
}
