import type { ControlPeer, ProcessSettings } from "@chestnutspool/types";
import { parseAddress } from "./check-value.js";
import { describeFault, type Fault } from "./fault.js";

/** A fault in the relation between keys. */
type RelationFault = Omit<Fault, "fileName">;

const replicaCounts = [1, 3, 5];

function checkLog(settings: ProcessSettings): RelationFault[] {
    const faults: RelationFault[] = [];
    const { electionTimeoutMinMs, electionTimeoutMaxMs, heartbeatMs } = settings.log;
    if (electionTimeoutMaxMs <= electionTimeoutMinMs) {
        faults.push({
            section: "log",
            key: "election_timeout_max_ms",
            seen: String(electionTimeoutMaxMs),
            allowed: `more than election_timeout_min_ms, which is ${electionTimeoutMinMs}`,
            remedy: "raise it, or lower election_timeout_min_ms",
        });
    }
    if (heartbeatMs * 2 >= electionTimeoutMinMs) {
        faults.push({
            section: "log",
            key: "heartbeat_ms",
            seen: String(heartbeatMs),
            allowed: `less than half of election_timeout_min_ms, which is ${electionTimeoutMinMs}`,
            remedy: "lower it, or raise election_timeout_min_ms",
        });
    }
    return faults;
}

function checkLeases(settings: ProcessSettings): RelationFault[] {
    const faults: RelationFault[] = [];
    const { sessionTtlMs, sessionRenewMs, workerLeaseMs, syncHoldMs } = settings.leases;
    if (sessionRenewMs * 3 >= sessionTtlMs) {
        faults.push({
            section: "leases",
            key: "session_renew_ms",
            seen: String(sessionRenewMs),
            allowed: `less than a third of session_ttl_ms, which is ${sessionTtlMs}`,
            remedy: "lower it, or raise session_ttl_ms",
        });
    }
    if (syncHoldMs * 3 >= workerLeaseMs) {
        faults.push({
            section: "leases",
            key: "sync_hold_ms",
            seen: String(syncHoldMs),
            allowed: `less than a third of worker_lease_ms, which is ${workerLeaseMs}`,
            remedy: "lower it, or raise worker_lease_ms",
        });
    }
    return faults;
}

function checkRequests(settings: ProcessSettings): RelationFault[] {
    const { answerLimitBytes, streamLimitBytes } = settings.requests;
    return !(answerLimitBytes > streamLimitBytes) ? [] : [{
        section: "requests",
        key: "answer_limit_bytes",
        seen: String(answerLimitBytes),
        allowed: `at most stream_limit_bytes, which is ${streamLimitBytes}`,
        remedy: "lower it, or raise stream_limit_bytes",
    }];
}

function checkReplicas(peers: readonly ControlPeer[]): RelationFault[] {
    const faults: RelationFault[] = [];
    if (!replicaCounts.includes(peers.length)) {
        faults.push({
            section: "control",
            key: undefined,
            seen: `${peers.length} replicas`,
            allowed: "3 or 5 replicas, or 1 for trials",
            remedy: "name each control replica as ID=IP:PORT, the same in the files of all processes",
        });
    }
    for (const [index, peer] of peers.entries()) {
        const same = peers.slice(0, index).find(other => other.address === peer.address);
        if (same !== undefined) {
            faults.push({
                section: "control",
                key: peer.id,
                seen: peer.address,
                allowed: `an address other than that of ${same.id}`,
                remedy: "give each replica its own address",
            });
        }
    }
    return faults;
}

function checkControlRole(settings: ProcessSettings): RelationFault[] {
    const { id, roles, dataFolder } = settings.process;
    if (id === "" || roles.length === 0) {
        return [];
    }
    const self = settings.controlPeers.find(peer => peer.id === id);
    if (!roles.includes("control")) {
        return self === undefined ? [] : [{
            section: "control",
            key: id,
            seen: self.address,
            allowed: "only processes with the role control",
            remedy: "remove the key, add the role control, or give the process another id",
        }];
    }
    const faults: RelationFault[] = [];
    if (dataFolder === undefined) {
        faults.push({
            section: "process",
            key: "data_folder",
            seen: undefined,
            allowed: "the path of a folder",
            remedy: "name a folder on a local disk, because the role control keeps its log there",
        });
    }
    if (self === undefined) {
        faults.push({
            section: "control",
            key: id,
            seen: undefined,
            allowed: "an entry for each process with the role control",
            remedy: `add "${id}=IP:PORT" with the address of this process, or remove the role control`,
        });
        return faults;
    }
    const address = parseAddress(self.address);
    const { peerHost, peerPort } = settings.listen;
    if (address !== undefined && peerHost !== "" && (address.host !== peerHost || address.port !== peerPort)) {
        faults.push({
            section: "control",
            key: id,
            seen: self.address,
            allowed: `the address of this process in [listen], ${peerHost} port ${peerPort}`,
            remedy: "make peer_host and peer_port agree with the entry",
        });
    }
    return faults;
}

/** Lists the faults in relations between keys, as text. An invalid value is NaN or empty here and is not compared. */
export function checkRelations(settings: ProcessSettings, fileName: string): readonly string[] {
    return [
        ...checkLog(settings),
        ...checkLeases(settings),
        ...checkRequests(settings),
        ...checkReplicas(settings.controlPeers),
        ...checkControlRole(settings),
    ].map(fault => describeFault({ fileName, ...fault }));
}
