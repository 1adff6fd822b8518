import { describeError } from "@chestnutspool/errors";
import type { Logger } from "@chestnutspool/logger";
import {
    type Channel,
    type ControlAddress,
    type DirectoryReply,
    type DirectoryRequest,
    type ErrorData,
    type MemberChange,
    type PeerLink,
    readMonotonicMs,
    type ReplicaStatus,
    type ReplicatedLog,
} from "@chestnutspool/types";
import { Effect, FiberMap, Queue } from "effect";
import { type ControlView, createControlView, locateLeader, recordDirectoryReply } from "./locate-leader.js";
import { type JoinRequest, planMemberChange, planSilentRemoval } from "./plan-member-change.js";

/** Pause between two join requests, in milliseconds. */
const joinPauseMs = 400;
/** Timeout of a join request, in milliseconds; the leader answers before the member list has changed. */
const joinTimeoutMs = 500;
/** Maximum number of changes for one join: removal of an old identity, addition, promotion. */
const maxChangesPerJoin = 3;
/** Pause between two searches for silent members, in milliseconds. */
const removalPauseMs = 1_000;

/** Dependencies of the directory of a control process. */
export interface DirectoryDependencies<Command, Result> {
    readonly link: PeerLink;
    readonly log: ReplicatedLog<Command, Result>;
    readonly seeds: readonly ControlAddress[];
    readonly logger: Logger;
}

/** The leader and the members of the log as this process knows them. */
export interface Directory {
    /** Finds the leader; undefined while it is not known. */
    readonly findLeader: () => ControlAddress | undefined;
    readonly listMembers: () => readonly ControlAddress[];
}

function findLeader(status: ReplicaStatus): ControlAddress | undefined {
    const member = status.members.find(({ id }) => id === status.leader);
    return member === undefined ? undefined : { id: member.id, address: member.address };
}

function listMembers(status: ReplicaStatus): readonly ControlAddress[] {
    // The status of a learner with an empty log lists only the learner itself, which is not a member yet.
    return status.role === "learner" && status.lastIndex === 0
        ? []
        : status.members.map(({ id, address }) => ({ id, address }));
}

/** What the leader does about the member list, one at a time, so that each is planned on the list in effect. */
type MembershipTask =
    | { readonly kind: "admit"; readonly request: JoinRequest; }
    | { readonly kind: "removeSilent"; };

/** Changes one member, and logs it with the process for which it is changed. */
const changeMember = Effect.fnUntraced(function*<Command, Result>(
    { log, logger }: DirectoryDependencies<Command, Result>,
    change: MemberChange,
    reason: string,
) {
    yield* log.changeMembers(change);
    logger.info("member list changed", { change: change.kind, member: change.id, for: reason });
});

/** Logs that a process was not admitted; it asks again. */
function logRejection<Command, Result, Failed>(
    dependencies: DirectoryDependencies<Command, Result>,
    request: JoinRequest,
    admission: Effect.Effect<void, ErrorData, Failed>,
): Effect.Effect<void, never, Failed> {
    return Effect.catch(
        admission,
        (error: ErrorData) =>
            Effect.sync(() =>
                dependencies.logger.warn("member was not admitted", {
                    member: request.member.id,
                    identity: request.replicaIdentity,
                    detail: describeError(error),
                })
            ),
    );
}

/** Promotions in progress, by id and identity of the learner. */
type Promotions = FiberMap.FiberMap<string>;

/**
 * Carries out the membership changes for one process that asks to join. Does not wait for the promotion, because a learner
 * that is gone or slow must not hold up other processes, nor itself after it lost its disk again.
 */
const admitMember = Effect.fnUntraced(function*<Command, Result>(
    dependencies: DirectoryDependencies<Command, Result>,
    promotions: Promotions,
    request: JoinRequest,
) {
    const { log } = dependencies;
    for (let step = 0; step < maxChangesPerJoin; step += 1) {
        const status = log.readStatus();
        const change = planMemberChange(status.members, request);
        if (status.role !== "leader" || change === undefined) {
            return;
        }
        if (change.kind === "promoteLearner") {
            const promotion = logRejection(
                dependencies,
                request,
                changeMember(dependencies, change, request.member.id),
            );
            const key = `${change.id} ${request.replicaIdentity}`;
            yield* FiberMap.run(promotions, key, promotion, { onlyIfMissing: true });
            return;
        }
        yield* changeMember(dependencies, change, request.member.id);
    }
});

/** Removes a member that has been silent for long. */
const removeSilentMember = Effect.fnUntraced(function*<Command, Result>(
    dependencies: DirectoryDependencies<Command, Result>,
) {
    const { log, logger } = dependencies;
    const nowMs = yield* readMonotonicMs;
    const change = planSilentRemoval(log.readStatus().members, member => log.readTimeSinceContactMs(member, nowMs));
    if (change === undefined) {
        return;
    }
    yield* Effect.catch(
        changeMember(dependencies, change, "silence"),
        (error: ErrorData) =>
            Effect.sync(() =>
                logger.warn("silent member was not removed", { member: change.id, detail: describeError(error) })
            ),
    );
});

/** Admits joining processes and removes silent members; `handleCall` drops requests of processes that are already waiting. */
const runTasks = <Command, Result>(
    dependencies: DirectoryDependencies<Command, Result>,
    tasks: Queue.Dequeue<MembershipTask>,
    waiting: Set<string>,
    promotions: Promotions,
) => Effect.forever(Effect.gen(function*() {
    const task = yield* Queue.take(tasks);
    switch (task.kind) {
        case "admit":
            yield* logRejection(dependencies, task.request, admitMember(dependencies, promotions, task.request));
            waiting.delete(task.request.member.id);
            break;
        case "removeSilent":
            yield* removeSilentMember(dependencies);
            break;
    }
}));

/** Requests the removal of silent members while this process leads; never ends. */
const keepRemoving = <Command, Result>(
    { log }: DirectoryDependencies<Command, Result>,
    tasks: Queue.Queue<MembershipTask>,
) => Effect.forever(Effect.gen(function*() {
    yield* Effect.sleep(removalPauseMs);
    if (log.readStatus().role === "leader") {
        Queue.offerUnsafe(tasks, { kind: "removeSilent" });
    }
}));

/**
 * Whether this process asks to be admitted. A process that was removed while it was cut off still finds its vote in its own
 * log and hears no leader, because nobody sends anything to it; the leader knows whether it is a member.
 */
function needsAdmission(status: ReplicaStatus): boolean {
    switch (status.role) {
        case "learner":
            return true;
        case "candidate":
        case "follower":
            return status.leader === undefined;
        case "leader":
        case "stopped":
            return false;
    }
}

/** Sends join requests to the leader while this process has no vote there or hears no leader; never ends. */
const keepJoining = Effect.fnUntraced(function*<Command, Result>(
    dependencies: DirectoryDependencies<Command, Result>,
    view: ControlView,
    channel: Channel<DirectoryRequest, DirectoryReply>,
) {
    const { link, log, logger } = dependencies;
    while (true) {
        const status = log.readStatus();
        if (needsAdmission(status)) {
            recordDirectoryReply(view, link, { leader: undefined, members: listMembers(status) });
            const leader = yield* locateLeader(view, link, channel);
            if (leader !== undefined && leader.id !== link.self) {
                const member = { id: link.self, address: link.address };
                const call = channel.callPeer(
                    leader.id,
                    { kind: "join", member, replicaIdentity: status.identity },
                    joinTimeoutMs,
                );
                yield* Effect.catch(
                    call,
                    (error: ErrorData) =>
                        Effect.sync(() => logger.debug("join request failed", { detail: describeError(error) })),
                );
            }
        }
        yield* Effect.sleep(joinPauseMs);
    }
});

/**
 * Serves the directory of a control process, joins the log when this process is not a voting member, and keeps the member
 * list while this process leads.
 */
export const serveDirectory = Effect.fnUntraced(
    function*<Command, Result>(dependencies: DirectoryDependencies<Command, Result>) {
        const { link, log, seeds } = dependencies;
        const tasks = yield* Queue.unbounded<MembershipTask>();
        const waiting = new Set<string>();
        const promotions: Promotions = yield* FiberMap.make<string>();
        const readReply = (): DirectoryReply => ({
            leader: findLeader(log.readStatus()),
            members: listMembers(log.readStatus()),
        });
        const channel = link.openChannel<DirectoryRequest, DirectoryReply>("directory", {
            handleCall: (from, request) =>
                Effect.sync(() => {
                    if (
                        request.kind === "join" && log.readStatus().role === "leader" && !waiting.has(request.member.id)
                    ) {
                        waiting.add(request.member.id);
                        const { member, replicaIdentity } = request;
                        Queue.offerUnsafe(tasks, { kind: "admit", request: { member, replicaIdentity } });
                    }
                    return readReply();
                }),
        });
        yield* Effect.forkScoped(runTasks(dependencies, tasks, waiting, promotions));
        yield* Effect.forkScoped(keepRemoving(dependencies, tasks));
        yield* Effect.forkScoped(keepJoining(dependencies, createControlView(seeds), channel));
        const directory: Directory = {
            findLeader: () => findLeader(log.readStatus()),
            listMembers: () => listMembers(log.readStatus()),
        };
        return directory;
    },
);
