import { request } from "node:http";

/**
 * Makes one HTTP call. Returns `{ status, body }`, or `{ failure }` if there was no complete response within `limitMs`.
 */
export function callHttp({ address, method, path, host, body, limitMs, agent, headers = {} }) {
    const [hostname, port] = address.split(":");
    return new Promise(resolve => {
        const text = body === undefined ? undefined : JSON.stringify(body);
        const outgoing = request({
            host: hostname,
            port: Number(port),
            method,
            path,
            agent: agent ?? false,
            headers: {
                ...(host === undefined ? {} : { host }),
                ...(text === undefined
                    ? {}
                    : { "content-type": "application/json", "content-length": Buffer.byteLength(text) }),
                ...headers,
            },
        });
        const settle = outcome => {
            clearTimeout(timer);
            resolve(outcome);
        };
        const timer = setTimeout(() => {
            settle({ failure: `no response within ${limitMs} ms` });
            outgoing.destroy();
        }, limitMs);
        outgoing.on("error", error => settle({ failure: error.code ?? error.message }));
        outgoing.on("response", response => {
            const chunks = [];
            response.on("data", chunk => chunks.push(chunk));
            response.on("error", error => settle({ failure: error.code ?? error.message }));
            response.on("end", () => {
                const content = Buffer.concat(chunks).toString("utf8");
                let parsed;
                try {
                    parsed = JSON.parse(content);
                }
                catch {
                    parsed = undefined;
                }
                settle({ status: response.statusCode, body: parsed, headers: response.headers });
            });
        });
        outgoing.end(text);
    });
}
