import { createServer } from "node:http";
import { call, serviceName } from "./calls.mjs";
import { bounds } from "./system.mjs";

let lives = 0;

/**
 * A minion that follows PROTOCOL.md: leases on its own clock, generation numbers, run numbers, ends until they are
 * acknowledged, saved values. `plan(task)` tells how long a task works, whether it lasts and who are its gang.
 */
export class Minion {
    constructor(system, options) {
        const { name, ip, capacity = { cpu: 32_000, memMb: 128_000, gpu: 0 }, labels = ["a", "r1"], plan } = options;
        Object.assign(this, { system, name, ip, capacity, labels, plan });
        /** Returns the status with which an order is rejected while the minion is unhealthy; undefined if it is healthy. */
        this.findRejection = () => undefined;
        this.events = [];
        this.gangs = system.gangs ??= new Map();
    }

    note(text) {
        this.system.note(`${this.id} ${text}`);
    }

    clock() {
        return Math.floor(performance.now() - this.bornMs);
    }

    async start() {
        lives += 1;
        this.id = `i-${this.name}-${lives}`;
        this.life = lives;
        this.bornMs = performance.now() - 1_000;
        this.seq = 0;
        this.fence = 0;
        this.leaseMs = 0;
        this.running = new Map();
        this.past = new Map();
        this.finished = [];
        this.nextEnd = 1;
        this.waiters = new Set();
        this.state = "ready";
        this.isUp = true;
        this.server = createServer(
            { keepAliveTimeout: 60_000 },
            (incoming, outgoing) => void this.serve(incoming, outgoing),
        );
        await new Promise((resolve, reject) => {
            this.server.once("error", reject);
            this.server.listen(this.system.ports.minion, this.ip, resolve);
        });
        this.ticker = setInterval(() => this.advance(), 10);
        void this.ping(this.life);
        this.note("is up");
    }

    /** Ends without notice: nothing listens at the address until the next start. */
    crash() {
        this.note(`crashes with ${[...this.running.keys()].join(" ")}`);
        this.isUp = false;
        clearInterval(this.ticker);
        for (const [task, run] of [...this.running]) {
            this.breakGang(task, run);
            this.events.push({ atMs: performance.now(), minion: this.id, task, run: run.run, kind: "crashed" });
        }
        this.running.clear();
        this.server.close();
        this.server.closeAllConnections();
    }

    async ping(life) {
        const { id } = this;
        for (let turn = 0; this.isUp && this.life === life; turn += 1) {
            this.seq += 1;
            const control = this.system.control[(turn + lives) % this.system.control.length];
            const { status } = await call({
                ip: control.ip,
                port: this.system.ports.control,
                method: "PUT",
                path: `/api/instances/${id}`,
                body: {
                    service: serviceName,
                    address: `${this.ip}:${this.system.ports.minion}`,
                    zone: "zone-1",
                    version: "v1",
                    slots: 8,
                    state: this.state,
                    coldRemainingMs: 0,
                    capacity: this.capacity,
                    labels: this.labels,
                    clockMs: this.clock(),
                    seq: this.seq,
                },
                limitMs: 1_000,
            });
            await new Promise(resolve => setTimeout(resolve, status === 200 ? 1_500 : 50));
        }
    }

    advance() {
        const nowMs = performance.now();
        for (const [task, run] of [...this.running]) {
            if (run.endsAtMs <= nowMs) {
                this.end(task, run.outcome);
            }
        }
        if (this.running.size > 0 && this.clock() >= this.leaseMs) {
            [...this.running.keys()].forEach(task => this.end(task, "lapsed"));
        }
    }

    /** The saved value names the task and the part of the work that is done. */
    saved(task, run) {
        const { saves, ms = Number.POSITIVE_INFINITY } = this.plan(task);
        if (!saves || run.worksFromMs === undefined) {
            return run.checkpoint;
        }
        const doneMs = run.resumedMs + Math.max(0, performance.now() - run.worksFromMs);
        const wholeMs = Math.floor(Math.min(ms, doneMs) / (bounds.checkpointS * 1_000)) * bounds.checkpointS * 1_000;
        return wholeMs === 0 ? run.checkpoint : `${task.slice(0, task.lastIndexOf("."))}:${wholeMs}`;
    }

    percent(task, run) {
        const { ms, lasts } = this.plan(task);
        const nowMs = performance.now();
        if (run.worksFromMs === undefined || nowMs < run.worksFromMs) {
            return 0;
        }
        return lasts ? 100 : Math.min(99, Math.floor(100 * (run.resumedMs + nowMs - run.worksFromMs) / ms));
    }

    end(task, how) {
        const run = this.running.get(task);
        if (run === undefined) {
            return;
        }
        const saved = this.saved(task, run);
        this.running.delete(task);
        this.past.set(task, Math.max(this.past.get(task) ?? 0, run.run));
        this.finished.push([this.nextEnd, task, run.run, how, saved]);
        this.nextEnd += 1;
        this.events.push({ atMs: performance.now(), minion: this.id, task, run: run.run, kind: how });
        this.note(`ends ${task} run ${run.run}: ${how} ${saved}`);
        if (how !== "done") {
            this.breakGang(task, run);
        }
        this.waiters.forEach(wake => wake());
    }

    breakGang(task, run) {
        const members = run.gang;
        if (members?.delete(task)) {
            for (const [other, minion] of [...members]) {
                members.delete(other);
                minion.end(other, "broken");
            }
        }
    }

    startRun({ task, run, spec, deadlineMs, fencingToken, checkpoint = "" }) {
        if (fencingToken < this.fence) {
            return "fence";
        }
        this.fence = fencingToken;
        if (deadlineMs <= this.clock()) {
            return "late";
        }
        this.leaseMs = Math.max(this.leaseMs, Math.min(deadlineMs, this.clock() + bounds.maxHoldMs));
        const present = this.running.get(task);
        if (present?.run === run) {
            return undefined;
        }
        if (present !== undefined || run <= (this.past.get(task) ?? 0)) {
            return "old";
        }
        const nowMs = performance.now();
        const { ms, lasts, gang, fails } = this.plan(task);
        const resumedMs = checkpoint === "" ? 0 : Number(checkpoint.split(":").at(-1));
        const entry = {
            run,
            spec,
            checkpoint,
            startedMs: nowMs,
            resumedMs,
            outcome: "done",
            endsAtMs: Number.POSITIVE_INFINITY,
        };
        this.running.set(task, entry);
        this.events.push({ atMs: nowMs, minion: this.id, task, run, kind: "start", checkpoint, spec });
        this.note(`starts ${task} run ${run} checkpoint "${checkpoint}"`);
        const work = (one, atMs) => {
            one.worksFromMs = atMs + (one.checkpoint === "" ? 0 : bounds.restoreMs);
            if (fails?.(task, one.run)) {
                one.outcome = "failed";
                one.endsAtMs = atMs + 100;
            }
            else if (!lasts) {
                one.endsAtMs = one.worksFromMs + Math.max(0, ms - one.resumedMs);
            }
        };
        if (gang === undefined) {
            work(entry, nowMs);
            return undefined;
        }
        const key = `${task.slice(0, task.lastIndexOf("."))}#${run}`;
        const members = this.gangs.get(key) ?? new Map();
        this.gangs.set(key, members);
        members.set(task, this);
        entry.gang = members;
        entry.outcome = "alone";
        entry.endsAtMs = nowMs + bounds.gangTimeoutMs;
        if (members.size === gang) {
            for (const [member, minion] of members) {
                const other = minion.running.get(member);
                other.outcome = "done";
                other.endsAtMs = Number.POSITIVE_INFINITY;
                work(other, nowMs);
            }
        }
        return undefined;
    }

    stopRun({ task, run, fencingToken }) {
        if (fencingToken < this.fence) {
            return "fence";
        }
        this.fence = fencingToken;
        this.past.set(task, Math.max(this.past.get(task) ?? 0, run));
        if (this.running.get(task)?.run === run) {
            this.end(task, "stopped");
        }
        return undefined;
    }

    hold({ fencingToken, ackCursor = 0, deadlineMs }) {
        if (fencingToken < this.fence) {
            return "fence";
        }
        this.fence = fencingToken;
        if (deadlineMs !== undefined) {
            this.leaseMs = Math.max(this.leaseMs, Math.min(deadlineMs, this.clock() + bounds.maxHoldMs));
        }
        this.finished = this.finished.filter(([number]) => number > ackCursor);
        return undefined;
    }

    carryOut(path, body) {
        const orders = { "/api/run-start": this.startRun, "/api/run-stop": this.stopRun, "/api/hold": this.hold };
        return orders[path]?.call(this, body);
    }

    async serve(incoming, outgoing) {
        const { life } = this;
        const chunks = [];
        for await (const chunk of incoming) {
            chunks.push(chunk);
        }
        const answer = (status, body) => {
            outgoing.writeHead(status, { "content-type": "application/json" }).end(
                JSON.stringify({ clockMs: this.clock(), ...body }),
            );
        };
        if (incoming.url === "/health") {
            return answer(200, {});
        }
        if (incoming.headers["x-target-instance"] !== this.id) {
            return answer(421, {});
        }
        this.advance();
        const body = JSON.parse(Buffer.concat(chunks).toString("utf8"));
        const rejection = this.findRejection(incoming.url, body);
        if (rejection !== undefined) {
            return answer(rejection, {});
        }
        const refusal = this.carryOut(incoming.url, body);
        if (refusal !== undefined) {
            this.note(`refuses ${incoming.url} ${body.task ?? ""} ${body.run ?? ""}: ${refusal}`);
            return answer(409, { reason: refusal });
        }
        if (incoming.url !== "/api/hold") {
            return answer(200, {});
        }
        if (this.finished.length === 0 && body.waitMs > 0) {
            await new Promise(resolve => {
                const finish = () => {
                    clearTimeout(timer);
                    this.waiters.delete(finish);
                    resolve();
                };
                const timer = setTimeout(finish, body.waitMs);
                this.waiters.add(finish);
            });
        }
        if (!this.isUp || this.life !== life) {
            return outgoing.destroy();
        }
        answer(200, {
            running: [...this.running].map((
                [task, run],
            ) => [task, run.run, this.saved(task, run), this.percent(task, run), this.plan(task).reading ?? 1_000]),
            finished: this.finished.slice(0, 500),
        });
    }
}
