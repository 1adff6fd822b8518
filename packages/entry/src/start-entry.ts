import type { EntryReply, EntryRequest, ErrorData, ProcessSettings, RequestEnvelope } from "@chestnutspool/types";
import { Effect } from "effect";
import { randomUUID } from "node:crypto";
import { createAnnouncements } from "./announcements.js";
import { createAttemptRunner } from "./attempt-runner.js";
import { createCallerService } from "./caller-service.js";
import { createControlClient } from "./control-client.js";
import { createCoordinator, createNoSessionError } from "./coordinator.js";
import { createDrain } from "./drain.js";
import { createEntryContext, type EntryServices } from "./entry-context.js";
import { createForwardedServices } from "./forwarded-services.js";
import { createFreeSlotsSender } from "./free-slots-sender.js";
import { createFreeSlots } from "./free-slots.js";
import type { EntryHealth } from "./health.js";
import { createOwnedItems } from "./owned-items.js";
import type { OwnedMinion } from "./owned-minion.js";
import { createOwnershipView } from "./ownership-view.js";
import { createPeerHandler, createSpillServer, sendAttemptEnded } from "./peer-requests.js";
import { createRequestRecords } from "./request-records.js";
import { createRequestRouter } from "./request-router.js";
import { createRetryLoop } from "./retry-loop.js";
import { getOrThrow, type RunCall } from "./rpc-errors.js";
import { startRpcServer } from "./rpc-server.js";
import { createRunningRequests } from "./running-requests.js";
import { type EntrySession, openSession } from "./session.js";
import { createSlotAllocator } from "./slot-allocator.js";

/** The running entry role. */
export interface EntryApi {
    /** IP address and port of the RPC server. */
    readonly rpcAddress: string;
    readonly readHealth: () => EntryHealth;
    /** Number of requests of callers in progress at this host. */
    readonly countRequests: () => number;
    /**
     * Refuses new requests, finishes those in progress and hands all items over, at most for the drain limit. Then it
     * waits until all answers to callers are written, at most for the drain limit again.
     */
    readonly drain: Effect.Effect<void>;
}

/** Interval of checks for passed deadlines, expired run leases, releases and silent minions, in milliseconds. */
const sweepIntervalMs = 20;

/** Starts the entry role; it stops when the scope closes. */
export const startEntry = Effect.fnUntraced(function*(settings: ProcessSettings, services: EntryServices) {
    const context = yield* createEntryContext(settings, services, randomUUID());
    const runPromiseExit = Effect.runPromiseExitWith(yield* Effect.context<never>());
    const runCall: RunCall = async (effect, signal) => getOrThrow(await runPromiseExit(effect, { signal }));

    const view = createOwnershipView();
    const control = createControlClient(context);
    const running = createRunningRequests(context, ref => {
        sendAttemptEnded(context, view, channel, { kind: "shard", shard: ref.shard }, ref.attempt, ref.minion);
    });
    const records = createRequestRecords(context, control, view);
    const freeSlots = createFreeSlots(settings.requests.freeSlotsIntervalMs);
    const opened: { session: EntrySession | undefined; } = { session: undefined };
    const isSessionValid = (): boolean => opened.session?.isValid(context.readNowMs()) === true;

    const handleAttemptEnded = (attempt: string, minion: OwnedMinion): void => {
        const { id } = minion.slots.getInfo();
        running.confirmEnd(attempt);
        spills.reportEnd(attempt, id);
        if (items.findMinion(id) !== minion) {
            items.findMinion(id)?.slots.confirmEnd(attempt);
            sendAttemptEnded(context, view, channel, { kind: "minion", minion: id }, attempt, id);
        }
    };
    const items = createOwnedItems(context, view, {
        handleShardGained: (record, shard) => running.addShard(record, shard),
        handleMinionChanged: service => allocator.dispatchQueue(service),
        handleAttemptEnded,
        listShardAttempts: shard => coordinator.listShardAttempts(shard),
    });
    const allocator = createSlotAllocator(
        context,
        view,
        items,
        freeSlots,
        isSessionValid,
        service => freeSlotsSender.sendOnChange(service),
    );

    const channel = context.link.openChannel<EntryRequest, EntryReply>(
        "entry",
        createPeerHandler(
            context,
            {
                view,
                allocator,
                running,
                freeSlots,
                isSessionValid,
                runRequest: (envelope, deadlineAtMs, emit) => coordinator.runRequest(envelope, deadlineAtMs, emit),
                handleAnnouncement: request => announcements.handleForwarded(request.announcement),
                confirmEnd: (attempt, minion) => {
                    running.confirmEnd(attempt);
                    items.findMinion(minion)?.slots.confirmEnd(attempt);
                },
            },
            () => spills,
        ),
    );
    const runner = createAttemptRunner(context, { items, allocator, channel, isSessionValid });
    const spills = createSpillServer(context, { view, allocator, runner, isSessionValid }, channel);
    const freeSlotsSender = createFreeSlotsSender(context, view, items, allocator, channel);
    const runAttempts = createRetryLoop(context, {
        items,
        allocator,
        running,
        runner,
        isSessionValid,
        forgetFreeSlots: freeSlots.forgetSlots,
    });
    const coordinator = createCoordinator(context, { view, items, running, records, runAttempts, isSessionValid });
    const router = createRequestRouter(context, { view, items, coordinator, channel, isSessionValid });
    const announcements = createAnnouncements(context, {
        view,
        items,
        allocator,
        control,
        channel,
        renewNow: () => opened.session?.renewNow(),
    });

    const session = yield* openSession(context, control, view, {
        handleOwnership: () => {
            items.updateItems();
            if (items.listReleased().length > 0) {
                opened.session?.renewNow();
            }
        },
        listReleased: items.listReleased,
    });
    opened.session = session;
    const drain = createDrain(context, {
        view,
        items,
        allocator,
        coordinator,
        spills,
        session,
        isSessionValid,
    });

    const readHealth = (): EntryHealth => {
        const configuration = session.readConfiguration();
        const reasons = [
            ...(isSessionValid() ? [] : ["no valid session with the control leader"]),
            ...(configuration === undefined ? ["no confirmed configuration"] : []),
            ...(drain.isDraining() ? ["draining"] : []),
        ];
        return {
            process: context.self,
            ready: reasons.length === 0,
            reasons,
            configurationRevision: configuration?.revision ?? 0,
            configurationConfirmed: configuration !== undefined && isSessionValid(),
            leader: control.readLeader() ?? "",
        };
    };

    /**
     * Finds the error with which a new request is refused. A request that is not idempotent is never reported as not
     * run, because only the request records show whether an earlier send of it has run.
     */
    const findRefusal = (envelope: RequestEnvelope): ErrorData | undefined => {
        if (drain.isDraining()) {
            return envelope.idempotent
                ? { kind: "notRun", reason: "draining", retryAfterMs: settings.leases.sessionRenewMs }
                : createNoSessionError(envelope, settings.leases.sessionRenewMs);
        }
        return isSessionValid() && session.readConfiguration() !== undefined
            ? undefined
            : createNoSessionError(envelope, settings.leases.sessionTtlMs);
    };

    const server = yield* startRpcServer(context, {
        caller: createCallerService(context, { router, runCall, findRefusal, runCounted: drain.runCounted }),
        announcements,
        forwarded: createForwardedServices(control, runCall),
        runCall,
        readHealth,
    });
    yield* Effect.forkScoped(freeSlotsSender.keepSending);
    yield* Effect.forkScoped(Effect.forever(Effect.andThen(
        Effect.sleep(sweepIntervalMs),
        Effect.sync(() => {
            allocator.sweepQueue();
            drain.advanceReleases();
            announcements.removeSilent();
        }),
    )));

    const api: EntryApi = {
        rpcAddress: server.address,
        readHealth,
        countRequests: drain.countRequests,
        drain: Effect.andThen(drain.run(server.stopAccepting), server.awaitAnswers),
    };
    return api;
});
