import { Agent, request } from "node:http";

const agent = new Agent({ keepAlive: true, maxSockets: 32 });

/** Sends a request; resolves to status and body, or to status 0 when there is no whole response in time. */
export function call({ ip, port, method, path, headers = {}, body, limitMs = 3_000 }) {
    return new Promise(resolve => {
        const text = body === undefined ? undefined : typeof body === "string" ? body : JSON.stringify(body);
        const length = text === undefined
            ? {}
            : { "content-type": "application/json", "content-length": Buffer.byteLength(text) };
        const outgoing = request({ host: ip, port, method, path, agent, headers: { ...headers, ...length } });
        const finish = answer => {
            clearTimeout(timer);
            resolve(answer);
        };
        const timer = setTimeout(() => {
            finish({ status: 0, body: {}, detail: "no response in time" });
            outgoing.destroy();
        }, limitMs);
        outgoing.on("error", error => finish({ status: 0, body: {}, detail: error.message }));
        outgoing.on("response", response => {
            const chunks = [];
            response.on("data", chunk => chunks.push(chunk));
            response.on("aborted", () => finish({ status: 0, body: {}, detail: "response broken off" }));
            response.on("end", () => {
                let parsed = {};
                try {
                    parsed = JSON.parse(Buffer.concat(chunks).toString("utf8"));
                }
                catch {}
                finish({ status: response.statusCode, body: parsed });
            });
        });
        outgoing.end(text);
    });
}

export const hostName = "jobs.example";
export const serviceName = "work";

/** A manifest with one queue for each prefix. */
export function makeManifest(version, prefixes, { maxAttempts = 3 } = {}) {
    return {
        version,
        routes: prefixes.map((pathPrefix, index) => ({
            name: `r-${index}`,
            host: hostName,
            pathPrefix,
            kind: "unsafe",
            timeoutMs: 3_000,
            targetLatencyMs: 1_000,
            priority: 0,
            service: serviceName,
            maxAttempts,
            slackFactor: 2,
        })),
        services: [{
            name: serviceName,
            healthPath: "/health",
            maxConns: 64,
            protocol: "h1",
            tls: false,
            admissionCheck: false,
            standby: false,
        }],
        limits: { maxHeaderBytes: 16_384, maxBodyBytes: 262_144, headerTimeoutMs: 3_000, idleTimeoutMs: 15_000 },
    };
}

/** Sends a change to the control processes in turn until it is acknowledged. */
export async function sendManifest(system, manifest, limitMs = 20_000) {
    const untilMs = performance.now() + limitMs;
    for (let turn = 0; performance.now() < untilMs; turn += 1) {
        const control = system.control[turn % system.control.length];
        const answer = await call({
            ip: control.ip,
            port: system.ports.control,
            method: "PUT",
            path: "/api/config",
            body: manifest,
            limitMs: 1_000,
        });
        if (answer.status === 200) {
            system.note(`manifest ${manifest.version} acknowledged by ${control.name}`);
            return true;
        }
        await new Promise(resolve => setTimeout(resolve, 200));
    }
    return false;
}

/** A request of a client to an entry process. */
export async function ask(system, method, path, body, entry = system.entry[0]) {
    const answer = await call({
        ip: entry.ip,
        port: system.ports.front,
        method,
        path,
        headers: { "host": hostName, "x-deadline-ms": "3000" },
        body,
    });
    system.note(
        `${method} ${path} at ${entry.name}: ${answer.status} ${JSON.stringify(answer.body)} ${answer.detail ?? ""}`,
    );
    return answer;
}
