// Clients and the operator.
import { call } from "./http.mjs";
import { sleep } from "./system.mjs";

export const hostName = "jobs.example";
export const serviceName = "pool-1";

export function createManifest(version, queues, services = [serviceName]) {
    return {
        version,
        routes: queues.map(({ path, priority = 0, maxAttempts = 3, service = serviceName, ...rest }, position) => ({
            name: `queue-${position}`,
            host: hostName,
            pathPrefix: path,
            kind: "unsafe",
            timeoutMs: 3_000,
            targetLatencyMs: 1_000,
            priority,
            service,
            maxAttempts,
            slackFactor: 2,
            ...rest,
        })),
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

export function createClients(system, record = () => undefined) {
    let next = 0;
    const front = () => `${system.entries[next++ % system.entries.length].ip}:${system.frontPort}`;
    const send = async (method, path, body, limitMs = 3_000, deadlineMs = limitMs) => {
        const address = front();
        const sentAtMs = performance.now();
        const result = await call({
            address,
            method,
            path,
            host: hostName,
            body,
            limitMs,
            headers: { "x-deadline-ms": String(deadlineMs) },
        });
        record("request", { method, path, status: result.status, body: result.json, detail: result.detail });
        return { ...result, sentAtMs, answeredAtMs: performance.now() };
    };
    const until = async (method, path, body, isFinal, limitMs) => {
        const endMs = performance.now() + limitMs;
        let result;
        do {
            result = await send(method, path, body);
            if (isFinal(result)) {
                return result;
            }
            await sleep(100);
        }
        while (performance.now() < endMs);
        return result;
    };
    return {
        send,
        /** Submits until there is a clear answer. */
        submit: (path, job, limitMs = 10_000) =>
            until("POST", path, job, ({ status }) => status >= 200 && status < 500 && status !== 429, limitMs),
        read: (path, limitMs = 10_000) =>
            until("GET", path, undefined, ({ status }) => status === 200 || status === 410 || status === 404, limitMs),
        cancel: (path, limitMs = 10_000) =>
            until("DELETE", path, undefined, ({ status }) => status === 200 || status === 410, limitMs),
        configure: async (manifest, limitMs = 30_000) => {
            const endMs = performance.now() + limitMs;
            for (let turn = 0; performance.now() < endMs; turn += 1) {
                const control = system.controls[turn % system.controls.length];
                const { status } = await call({
                    address: `${control.ip}:${system.controlPort}`,
                    method: "PUT",
                    path: "/api/config",
                    body: manifest,
                });
                record("operator", { version: manifest.version, control: control.name, status });
                if (status === 200) {
                    return true;
                }
                await sleep(100);
            }
            return false;
        },
        awaitReady: async (limitMs = 30_000) => {
            const endMs = performance.now() + limitMs;
            while (performance.now() < endMs) {
                const ready = await Promise.all(
                    system.entries.map(({ ip }) =>
                        call({ address: `${ip}:${system.readinessPort}`, method: "GET", path: "/api/ready" })
                    ),
                );
                if (ready.every(({ status }) => status === 200)) {
                    return true;
                }
                await sleep(100);
            }
            return false;
        },
    };
}

let ids = 0;
export function createId() {
    ids += 1;
    return (BigInt(Date.now()) * 4096n + BigInt(ids)).toString(16).padStart(16, "0").slice(-16);
}
