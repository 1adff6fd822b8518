import { describeError } from "@chestnutspool/errors";
import type {
    ConfigurationRecord,
    ControlNotice,
    ControlReply,
    EntryId,
    ErrorData,
    OwnershipMap,
    ReleasedItem,
} from "@chestnutspool/types";
import { Deferred, Effect, Result } from "effect";
import type { ControlClient } from "./control-client.js";
import type { EntryContext } from "./entry-context.js";
import type { OwnershipView } from "./ownership-view.js";

/** The session of this entry host with the control leader. */
export interface EntrySession {
    /** Whether this host may dispatch and coordinate at this time. */
    readonly isValid: (nowMs: number) => boolean;
    /** Configuration in force here; undefined before the first confirmed one. */
    readonly readConfiguration: () => ConfigurationRecord | undefined;
    /** Renews the session without waiting for the interval. */
    readonly renewNow: () => void;
    /** States in each further renewal that this host drains, so that control moves its items. */
    readonly announceDraining: () => void;
}

/** What the session tells the rest of the entry role. */
export interface SessionListener {
    /** A newer ownership map is in force. */
    readonly handleOwnership: () => void;
    /** Items that are marked releasing and on which this host has stopped new work. */
    readonly listReleased: () => readonly ReleasedItem[];
}

/** Pause after a renewal that failed, in milliseconds. */
const renewalRetryPauseMs = 50;

/** Opens the session and renews it until the scope closes. */
export const openSession = Effect.fnUntraced(function*(
    context: EntryContext,
    control: ControlClient,
    view: OwnershipView,
    listener: SessionListener,
) {
    const { leases, process } = context.settings;
    let validUntilMs = Number.NEGATIVE_INFINITY;
    let configuration: ConfigurationRecord | undefined;
    let confirmed = false;
    let draining = false;
    let wake = yield* Deferred.make<void>();

    const takeConfiguration = (next: ConfigurationRecord): void => {
        if (configuration === undefined || next.revision > configuration.revision) {
            configuration = next;
            context.logger.info("configuration in force", { revision: next.revision });
        }
    };
    const linked = new Set<EntryId>();
    /** Links to control replicas belong to the control client, and in a process with both roles also to the log. */
    const isKept = (entry: EntryId): boolean =>
        process.roles.includes("control") || context.settings.controlPeers.some(peer => peer.id === entry);
    const updateLinks = (map: OwnershipMap): void => {
        for (const entry of map.entries) {
            if (entry.entry !== context.self) {
                linked.add(entry.entry);
                context.link.setPeer(entry.entry, entry.peerAddress);
            }
        }
        for (const entry of linked) {
            if (!isKept(entry) && !map.entries.some(session => session.entry === entry)) {
                linked.delete(entry);
                context.link.removePeer(entry);
            }
        }
    };
    const takeOwnership = (map: OwnershipMap): void => {
        if (view.updateMap(map)) {
            updateLinks(map);
            listener.handleOwnership();
        }
    };
    const takeReply = (reply: ControlReply, sentAtMs: number): void => {
        if (reply.kind !== "session") {
            context.logger.error("unexpected reply to a renewal", { reply: reply.kind });
            return;
        }
        validUntilMs = Math.max(validUntilMs, sentAtMs + reply.sessionTtlMs);
        if (reply.configuration !== undefined) {
            takeConfiguration(reply.configuration);
        }
        // A leader with the first, empty configuration has nothing to send.
        configuration ??= { revision: 0, entries: {}, changedBy: "", acceptedAtMs: 0 };
        confirmed = true;
        if (reply.ownership !== undefined) {
            takeOwnership(reply.ownership);
        }
    };

    const renewOnce = Effect.gen(function*() {
        const sentAtMs = context.readNowMs();
        const reply = yield* control.callLeader(
            {
                kind: "renewSession",
                session: {
                    entry: context.self,
                    incarnation: context.incarnation,
                    peerAddress: context.link.address,
                    availabilityZone: process.availabilityZone,
                    draining,
                },
                appliedRevision: configuration?.revision ?? 0,
                ownershipVersion: view.readVersion(),
                released: listener.listReleased(),
            },
            leases.sessionTtlMs,
            "certain",
        );
        takeReply(reply, sentAtMs);
    });

    const awaitNextRenewal = (pauseMs: number) =>
        Effect.gen(function*() {
            yield* Effect.raceFirst(Effect.sleep(pauseMs), Deferred.await(wake));
            wake = yield* Deferred.make<void>();
        });

    const keepRenewing = Effect.gen(function*() {
        while (true) {
            const renewed: Result.Result<void, ErrorData> = yield* Effect.result(Effect.timeoutOrElse(renewOnce, {
                // A renewal that takes longer is given up, so that a silent partition of one replica costs one interval.
                duration: leases.sessionRenewMs * 2,
                orElse: () =>
                    Effect.fail<ErrorData>({
                        kind: "timeout",
                        operation: "renewal of the session",
                        limitMs: leases.sessionRenewMs * 2,
                    }),
            }));
            if (Result.isFailure(renewed)) {
                context.logger.warn("session not renewed", { detail: describeError(renewed.failure) });
            }
            yield* awaitNextRenewal(Result.isSuccess(renewed) ? leases.sessionRenewMs : renewalRetryPauseMs);
        }
    });

    context.link.openChannel<ControlNotice, never>("notice", {
        handleMessage: (from, notice) =>
            Effect.sync(() => {
                switch (notice.kind) {
                    case "configuration":
                        takeConfiguration(notice.configuration);
                        break;
                    case "ownership":
                        takeOwnership(notice.ownership);
                        break;
                }
            }),
    });
    yield* Effect.forkScoped(keepRenewing);

    const renewNow = (): void => {
        Deferred.doneUnsafe(wake, Effect.void);
    };
    const session: EntrySession = {
        isValid: nowMs => nowMs < validUntilMs,
        readConfiguration: () => confirmed ? configuration : undefined,
        renewNow,
        announceDraining: () => {
            draining = true;
            renewNow();
        },
    };
    return session;
});
