import { type LogMember, type PeerId, readMonotonicMs } from "@chestnutspool/types";
import { Deferred, Effect, Option, Queue } from "effect";
import { setMemberLinks } from "./follow.js";
import { logProtocolVersion } from "./messages.js";
import { listMembers, type Replica, setVote } from "./replica.js";

/** The initial member that may write the first member list: the one with the lowest id. */
function findBootstrapMember(replica: Replica): PeerId | undefined {
    return replica.initialMembers.map(member => member.id).sort()[0];
}

/** Asks all other initial members for their identities; undefined unless all answered, "formed" when one has a log. */
const collectMembers = Effect.fnUntraced(function*(replica: Replica) {
    const members: LogMember[] = [];
    for (const { id, address } of replica.initialMembers) {
        if (id === replica.self) {
            members.push({ id, address, replicaIdentity: replica.identity, votes: true });
            continue;
        }
        const request = { kind: "identify" as const, version: logProtocolVersion };
        const limitMs = replica.settings.electionTimeoutMinMs;
        const reply = Option.getOrUndefined(yield* Effect.option(replica.channel.callPeer(id, request, limitMs)));
        if (reply?.kind === "identity" && reply.formed) {
            return "formed" as const;
        }
        if (reply?.kind === "identity") {
            members.push({ id, address, replicaIdentity: reply.identity, votes: true });
        }
    }
    return members.length === replica.initialMembers.length ? members : undefined;
});

const writeFirstMembers = Effect.fnUntraced(function*(replica: Replica, members: readonly LogMember[]) {
    setVote(replica, replica.term + 1, replica.identity);
    const entry = { kind: "members" as const, index: 1, term: replica.term, members };
    replica.window.appendEntry(entry);
    yield* Deferred.await(replica.storage.appendEntries([entry]));
    setMemberLinks(replica);
    replica.electionDeadlineMs = yield* readMonotonicMs;
    Queue.offerUnsafe(replica.timerWake, undefined);
});

/**
 * Forms the first cluster. Only the initial member with the lowest id writes the first member list, and only when every
 * other initial member answers that it has no log. A replica whose data folder is emptied later therefore cannot form a
 * second cluster: some other member has the log or does not answer.
 */
export const formCluster = Effect.fnUntraced(function*(replica: Replica) {
    if (findBootstrapMember(replica) !== replica.self) {
        return;
    }
    for (const { id, address } of replica.initialMembers) {
        replica.link.setPeer(id, address);
    }
    while (listMembers(replica).length === 0) {
        const members = yield* collectMembers(replica);
        if (members === "formed") {
            replica.logger.warn("the cluster exists and this data folder is new; admit it with a member change", {
                identity: replica.identity,
            });
            return;
        }
        if (members !== undefined && listMembers(replica).length === 0) {
            return yield* writeFirstMembers(replica, members);
        }
        yield* Effect.sleep(replica.settings.heartbeatMs);
    }
});
