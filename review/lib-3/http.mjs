// HTTP calls of the stand-ins.
import { Agent, request } from "node:http";

const agent = new Agent({ keepAlive: true, maxSockets: 64 });

/** Calls an address; the result has status 0 if there was no complete response. */
export function call({ address, method, path, host, body, limitMs = 1_000, headers = {}, ownAgent = agent }) {
    return new Promise(resolve => {
        const [ip, port] = address.split(":");
        const text = body === undefined ? undefined : typeof body === "string" ? body : JSON.stringify(body);
        let isSettled = false;
        const settle = result => {
            if (!isSettled) {
                isSettled = true;
                clearTimeout(timer);
                resolve(result);
            }
        };
        const outgoing = request({
            host: ip,
            port: Number(port),
            agent: ownAgent,
            method,
            path,
            headers: {
                ...(host === undefined ? {} : { host }),
                ...headers,
                ...(text === undefined
                    ? {}
                    : { "content-type": "application/json", "content-length": Buffer.byteLength(text) }),
            },
        });
        const timer = setTimeout(() => {
            settle({ status: 0, detail: "time-out" });
            outgoing.destroy();
        }, limitMs);
        outgoing.on("error", error => settle({ status: 0, detail: error.message }));
        outgoing.on("response", response => {
            const chunks = [];
            response.on("data", chunk => chunks.push(chunk));
            response.on("error", error => settle({ status: 0, detail: error.message }));
            response.on("end", () => {
                const answered = Buffer.concat(chunks).toString("utf8");
                let json;
                try {
                    json = JSON.parse(answered);
                }
                catch {
                    json = undefined;
                }
                settle({ status: response.statusCode, json, text: answered, headers: response.headers });
            });
        });
        outgoing.end(text);
    });
}
