import type { JobRequest } from "./job-requests.js";

/** Log fields of a request; never its payload. */
export type JobRequestFields = Readonly<Record<string, string | number | undefined>>;

/** Describes a request by the fields under which log lines name it. */
export function describeJobRequest(request: JobRequest): JobRequestFields {
    switch (request.kind) {
        case "submitJob":
            return { request: request.kind, job: request.spec.id, host: request.hostName, path: request.path };
        case "readJob":
        case "cancelJob":
            return { request: request.kind, job: request.job, host: request.hostName, path: request.path };
        case "countPending":
            return { request: request.kind, host: request.hostName, path: request.path };
        case "setConfiguration":
            return { request: request.kind, version: request.configuration.version };
        case "readConfiguration":
            return { request: request.kind };
        case "recordHeartbeat":
            return { request: request.kind, worker: request.heartbeat.worker.id, sequence: request.heartbeat.sequence };
        case "removeWorker":
            return { request: request.kind, worker: request.worker };
        case "startWave":
            return { request: request.kind, wave: request.wave.wave };
        case "setZoneAdmission":
            return {
                request: request.kind,
                zone: request.availabilityZone,
                isEvacuated: request.isEvacuated ? "true" : "false",
            };
        case "readWave":
            return { request: request.kind, wave: request.wave };
    }
}
