import { randomBytes } from "node:crypto";
import { awaitMs } from "./await-ms.mjs";
import { callHttp } from "./call-http.mjs";

const operatorLimitMs = 1_000;
/** Deadline of the clients of the site, in milliseconds. */
export const clientDeadlineMs = 3_000;

/** Creates the id of a submission. */
export function createId() {
    return randomBytes(8).toString("hex");
}

/** Creates a manifest with one route, which `service` serves. */
export function createManifest({ version, host, pathPrefix, service, services, maxAttempts }) {
    return {
        version,
        routes: [{
            name: "r-1",
            host,
            pathPrefix,
            kind: "unsafe",
            timeoutMs: 3_000,
            targetLatencyMs: 1_000,
            priority: 0,
            service,
            maxAttempts,
            slackFactor: 2,
        }],
        services: services.map(name => ({
            name,
            healthPath: "/health",
            maxConns: 64,
            protocol: "h1",
            tls: false,
            admissionCheck: false,
            standby: false,
        })),
        limits: { maxHeaderBytes: 16_384, maxBodyBytes: 262_144, headerTimeoutMs: 3_000, idleTimeoutMs: 15_000 },
    };
}

/** The operator and the clients of a deployment. */
export class Users {
    constructor({ system, record, host, pathPrefix }) {
        Object.assign(this, { system, record, host, pathPrefix });
    }

    /** Sends a manifest to one control process after the other until it is acknowledged. */
    async putManifest(manifest, limitMs) {
        const deadlineMs = performance.now() + limitMs;
        for (let attempt = 0; performance.now() < deadlineMs; attempt += 1) {
            const addresses = this.system.listControlAddresses();
            const address = addresses[attempt % addresses.length];
            const { status, failure } = await callHttp({
                address,
                method: "PUT",
                path: "/api/config",
                body: manifest,
                limitMs: operatorLimitMs,
            });
            this.record.write("manifest", { version: manifest.version, address, outcome: status ?? failure });
            if (status === 200) {
                return true;
            }
            await awaitMs(100);
        }
        return false;
    }

    /** Sends one request for a submission to a front. */
    async call(front, method, id, body) {
        const outcome = await callHttp({
            address: front,
            method,
            path: `${this.pathPrefix}${id}`,
            host: this.host,
            body,
            limitMs: clientDeadlineMs,
            headers: { "x-deadline-ms": String(clientDeadlineMs) },
        });
        this.record.write(method, {
            id,
            front,
            outcome: outcome.status ?? outcome.failure,
            ...(outcome.body?.state === undefined ? {} : { state: outcome.body.state }),
        });
        return outcome;
    }

    /** Hands a submission in, at one front after the other, until it is accepted or `limitMs` has passed. */
    async submit(id, body, limitMs = clientDeadlineMs) {
        const deadlineMs = performance.now() + limitMs;
        for (let attempt = 0; performance.now() < deadlineMs; attempt += 1) {
            const fronts = this.system.listFrontAddresses();
            const { status } = await this.call(fronts[attempt % fronts.length], "POST", id, body);
            if (status >= 200 && status < 300) {
                return true;
            }
            await awaitMs(100);
        }
        return false;
    }
}
