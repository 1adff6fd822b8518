import { Agent, createServer } from "node:http";
import { awaitMs } from "./await-ms.mjs";
import { callHttp } from "./call-http.mjs";

const heartbeatMs = 1_500;
const longestLeaseMs = 6_000;
const pingLimitMs = 1_000;
const endsPerReport = 500;
const tickMs = 10;

/** Text of the work of a task: the field `spec` of a submission, which each start carries. */
export function formatWork({ runMs = 1_000 }) {
    return JSON.stringify({ runMs });
}

/**
 * One life of a minion, by PROTOCOL.md. It serves run-start, run-stop, hold and pace, holds its runs under a lease and sends
 * pings. `history` gets an entry for each run.
 */
export class Minion {
    #server;
    #ticker;
    #agent = new Agent({ keepAlive: true, maxSockets: 1 });
    #running = new Map();
    #past = new Map();
    #finished = [];
    #nextEnd = 1;
    #fence = 0;
    #leaseUntilMs = 0;
    #sequence = 0;
    #waiters = new Set();
    #nextControl = 0;
    #isDraining = false;
    /** Whether nothing reaches this minion; what it sends arrives. */
    #isDeaf = false;
    #deafEnds = [];
    isUp = false;

    constructor({ id, ip, port, service, labels = ["a", "r1-1"], capacity, history, record, listControls }) {
        Object.assign(this, { id, ip, port, service, labels, capacity, history, record, listControls });
        this.startedMs = performance.now();
    }

    get #clockMs() {
        return Math.floor(performance.now() - this.startedMs + 100_000);
    }

    async start() {
        this.#server = createServer({ keepAliveTimeout: 60_000 }, (incoming, outgoing) => {
            this.#answer(incoming, outgoing).catch(() => incoming.socket.destroy());
        });
        await new Promise((resolve, reject) => {
            this.#server.once("error", reject);
            this.#server.listen(this.port, this.ip, resolve);
        });
        this.isUp = true;
        this.#ticker = setInterval(() => this.#advance(), tickMs);
        this.record.write("minion-up", { id: this.id });
        void this.#keepPinging();
    }

    /** Ends this life; everything that runs here ends with it. */
    end(reason) {
        if (!this.isUp) {
            return;
        }
        this.#advance();
        this.isUp = false;
        clearInterval(this.#ticker);
        for (const task of [...this.#running.keys()]) {
            this.#endRun(task, "gone");
        }
        this.#server.close();
        this.#server.closeAllConnections();
        this.#agent.destroy();
        this.record.write("minion-ended", { id: this.id, reason });
    }

    /** Cuts the direction towards this minion: calls and answers wait until the cut ends. */
    setDeaf(isDeaf) {
        this.#isDeaf = isDeaf;
        this.record.write(isDeaf ? "cut-begins" : "cut-ends", { towards: this.id });
        if (!isDeaf) {
            this.#deafEnds.splice(0).forEach(resume => resume());
        }
    }

    listRunning() {
        return [...this.#running.values()].map(({ entry }) => entry);
    }

    /** Reports `draining` until a ping is acknowledged; false if none is within `limitMs`. */
    async drain(limitMs) {
        this.#isDraining = true;
        const deadlineMs = performance.now() + limitMs;
        while (this.isUp && performance.now() < deadlineMs) {
            if (await this.#ping()) {
                return true;
            }
            await awaitMs(50);
        }
        return false;
    }

    /** Announces that this minion leaves; true if the call is acknowledged. */
    async announceEnd() {
        this.record.write("delete-sent", { id: this.id, running: this.#running.size });
        const outcome = await this.#call("DELETE", `/api/instances/${this.id}`);
        this.record.write("delete-answered", { id: this.id, outcome: outcome.status ?? outcome.failure });
        return outcome.status >= 200 && outcome.status < 300;
    }

    #awaitHearing() {
        return this.#isDeaf
            ? new Promise(resolve => {
                this.#deafEnds.push(resolve);
            })
            : Promise.resolve();
    }

    async #call(method, path, body) {
        const controls = this.listControls();
        const address = controls[this.#nextControl % controls.length];
        if (address === undefined) {
            return { failure: "no control process is listed" };
        }
        const wasDeaf = this.#isDeaf;
        const outcome = await callHttp({ address, method, path, body, limitMs: pingLimitMs, agent: this.#agent });
        if (wasDeaf || this.#isDeaf) {
            await awaitMs(pingLimitMs);
            return { failure: "the answer does not reach the minion" };
        }
        return outcome;
    }

    async #ping() {
        this.#sequence += 1;
        const { status } = await this.#call("PUT", `/api/instances/${this.id}`, {
            service: this.service,
            address: `${this.ip}:${this.port}`,
            zone: "cuyo-norte",
            version: "v1",
            slots: 8,
            state: this.#isDraining ? "draining" : "ready",
            ...(this.#isDraining ? { remainingMs: 3_000 } : {}),
            coldRemainingMs: 0,
            capacity: this.capacity,
            labels: this.labels,
            clockMs: this.#clockMs,
            seq: this.#sequence,
        });
        const isAcknowledged = status >= 200 && status < 300;
        if (!isAcknowledged) {
            this.#nextControl += 1;
        }
        return isAcknowledged;
    }

    async #keepPinging() {
        while (this.isUp) {
            await awaitMs(await this.#ping() ? heartbeatMs : 100);
        }
    }

    #endRun(task, how) {
        const run = this.#running.get(task);
        this.#running.delete(task);
        this.#past.set(task, Math.max(this.#past.get(task) ?? 0, run.entry.run));
        run.entry.endedMs = performance.now();
        run.entry.how = how;
        this.record.write("run-ended", { task, run: run.entry.run, minion: this.id, how });
        if (how !== "gone") {
            this.#finished.push([this.#nextEnd, task, run.entry.run, how, ""]);
            this.#nextEnd += 1;
        }
        this.#waiters.forEach(wake => wake());
    }

    #advance() {
        const nowMs = performance.now();
        for (const [task, { endsAtMs }] of [...this.#running]) {
            if (endsAtMs <= nowMs) {
                this.#endRun(task, "done");
            }
        }
        if (this.#leaseUntilMs <= this.#clockMs) {
            for (const task of [...this.#running.keys()]) {
                this.#endRun(task, "lapsed");
            }
        }
    }

    #renewLease(untilMs) {
        this.#leaseUntilMs = Math.max(this.#leaseUntilMs, Math.min(untilMs, this.#clockMs + longestLeaseMs));
    }

    #startRun({ task, run, spec, deadlineMs }) {
        this.#renewLease(deadlineMs);
        if (deadlineMs <= this.#clockMs) {
            return "late";
        }
        const present = this.#running.get(task);
        if (present?.entry.run === run) {
            return undefined;
        }
        if (present !== undefined || run <= (this.#past.get(task) ?? 0)) {
            return "old";
        }
        const entry = { task, run, minion: this.id, startedMs: performance.now(), endedMs: undefined, how: undefined };
        const { runMs } = JSON.parse(spec);
        this.history.push(entry);
        this.#running.set(task, {
            entry,
            endsAtMs: runMs === null ? Number.POSITIVE_INFINITY : entry.startedMs + runMs,
        });
        this.record.write("run-started", { task, run, minion: this.id });
        return undefined;
    }

    #stopRun({ task, run }) {
        this.#past.set(task, Math.max(this.#past.get(task) ?? 0, run));
        if (this.#running.get(task)?.entry.run === run) {
            this.#endRun(task, "stopped");
        }
    }

    /** Carries out an order; returns the reason for which it is refused. */
    #carryOut(path, body) {
        this.#advance();
        if ((body.fencingToken ?? 0) < this.#fence) {
            return "fence";
        }
        this.#fence = body.fencingToken ?? 0;
        switch (path) {
            case "/api/run-start":
                return this.#startRun(body);
            case "/api/run-stop":
                this.#stopRun(body);
                return undefined;
            case "/api/hold":
                if (body.deadlineMs !== undefined) {
                    this.#renewLease(body.deadlineMs);
                }
                this.#finished = this.#finished.filter(([number]) => number > body.ackCursor);
                return undefined;
            default:
                return undefined;
        }
    }

    #createReport() {
        const running = this.listRunning().map(({ task, run, startedMs }) => {
            const { endsAtMs } = this.#running.get(task);
            const share = Number.isFinite(endsAtMs) ? (performance.now() - startedMs) / (endsAtMs - startedMs) : 1;
            return [task, run, "", Math.min(Number.isFinite(endsAtMs) ? 99 : 100, Math.floor(share * 100)), 0];
        });
        return { clockMs: this.#clockMs, running, finished: this.#finished.slice(0, endsPerReport) };
    }

    async #awaitEnd(waitMs) {
        if (waitMs <= 0 || this.#finished.length > 0) {
            return;
        }
        await new Promise(resolve => {
            const finish = () => {
                clearTimeout(timer);
                this.#waiters.delete(finish);
                resolve();
            };
            const timer = setTimeout(finish, waitMs);
            this.#waiters.add(finish);
        });
    }

    async #answer(incoming, outgoing) {
        const chunks = [];
        for await (const chunk of incoming) {
            chunks.push(chunk);
        }
        await this.#awaitHearing();
        if (!this.isUp || incoming.socket.destroyed) {
            return;
        }
        const send = (status, content) => {
            outgoing.writeHead(status, { "content-type": "application/json" }).end(JSON.stringify(content));
        };
        if (incoming.method === "GET") {
            send(200, {});
            return;
        }
        if (incoming.headers["x-target-instance"] !== this.id) {
            send(421, { clockMs: this.#clockMs });
            return;
        }
        const body = JSON.parse(Buffer.concat(chunks).toString("utf8"));
        const refusal = this.#carryOut(incoming.url, body);
        if (refusal !== undefined) {
            send(409, { clockMs: this.#clockMs, reason: refusal });
            return;
        }
        if (incoming.url === "/api/hold") {
            await this.#awaitEnd(body.waitMs ?? 0);
            this.#advance();
            send(200, this.#createReport());
            return;
        }
        send(200, { clockMs: this.#clockMs });
    }
}
