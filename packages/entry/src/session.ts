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
    /** Whether the session is valid, so that this host may dispatch and coordinate requests. */
    readonly isValid: (nowMs: number) => boolean;
    /** Configuration in force at this host; undefined until the control leader has confirmed one. */
    readonly readConfiguration: () => ConfigurationRecord | undefined;
    /** Renews the session without waiting for the interval. */
    readonly renewNow: () => void;
    /** Reports in each further renewal that this host drains, so that control moves its items to other hosts. */
    readonly announceDraining: () => void;
}

/** Callbacks of the session into the rest of the entry role. */
export interface SessionListener {
    /** Called when a newer ownership map is in force. */
    readonly handleOwnership: () => void;
    /** Lists the items in phase `releasing` on which this host starts no more work. */
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

    const updateConfiguration = (next: ConfigurationRecord): void => {
        if (configuration === undefined || next.revision > configuration.revision) {
            configuration = next;
            context.logger.info("configuration in force", { revision: next.revision });
        }
    };
    const linkedEntries = new Set<EntryId>();
    /**
     * Whether a link must stay open when its entry host leaves the map: the control client uses the links to control
     * replicas, and in a process that also has the control role the replicated log uses them too.
     */
    const isUsedByControl = (entry: EntryId): boolean =>
        process.roles.includes("control") || context.settings.controlPeers.some(peer => peer.id === entry);
    const updateLinks = (map: OwnershipMap): void => {
        for (const entry of map.entries) {
            if (entry.entry !== context.self) {
                linkedEntries.add(entry.entry);
                context.link.setPeer(entry.entry, entry.peerAddress);
            }
        }
        for (const entry of linkedEntries) {
            if (!isUsedByControl(entry) && !map.entries.some(session => session.entry === entry)) {
                linkedEntries.delete(entry);
                context.link.removePeer(entry);
            }
        }
    };
    const updateOwnership = (map: OwnershipMap): void => {
        if (view.updateMap(map)) {
            updateLinks(map);
            listener.handleOwnership();
        }
    };
    const handleReply = (reply: ControlReply, sentAtMs: number): void => {
        if (reply.kind !== "session") {
            context.logger.error("unexpected reply to a renewal", { reply: reply.kind });
            return;
        }
        validUntilMs = Math.max(validUntilMs, sentAtMs + reply.sessionTtlMs);
        if (reply.configuration !== undefined) {
            updateConfiguration(reply.configuration);
        }
        // A leader whose configuration is still the initial empty one sends none.
        configuration ??= { revision: 0, entries: {}, changedBy: "", acceptedAtMs: 0 };
        confirmed = true;
        if (reply.ownership !== undefined) {
            updateOwnership(reply.ownership);
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
        handleReply(reply, sentAtMs);
    });

    const awaitNextRenewal = (pauseMs: number) =>
        Effect.gen(function*() {
            yield* Effect.raceFirst(Effect.sleep(pauseMs), Deferred.await(wake));
            wake = yield* Deferred.make<void>();
        });

    const keepRenewing = Effect.gen(function*() {
        while (true) {
            const renewed: Result.Result<void, ErrorData> = yield* Effect.result(Effect.timeoutOrElse(renewOnce, {
                // Bounds the wait for a replica when a partition drops messages without an error. A renewal that takes
                // longer is abandoned, so that a silent partition of one replica costs one interval.
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
                        updateConfiguration(notice.configuration);
                        break;
                    case "ownership":
                        updateOwnership(notice.ownership);
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
