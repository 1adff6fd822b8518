// A machine that runs one sound minion after another.
import { createServer } from "node:http";
import { call } from "./http.mjs";
import { clockOf, createOrders, formatGangKey } from "./orders.mjs";
import { bounds, sleep } from "./system.mjs";

const tickMs = 10;

/** What all minions share: their runs in the order of their starts, and the members of each run of a gang. */
export function createFleet(record = () => undefined) {
    return { runs: [], gangs: new Map(), record, minions: [] };
}

function createSignal() {
    const signal = {};
    signal.promise = new Promise(resolve => {
        signal.resolve = resolve;
    });
    return signal;
}

/**
 * Creates a machine that runs one minion after another. `describeTask` returns what a task does: `ms` of work, or
 * `lasts`, and optionally `gang` (the number of its members), `fails(run)`, `saves`.
 */
export function createMachine(fleet, options) {
    const {
        name,
        ip,
        port = 8080,
        controls,
        service,
        capacity = { cpu: 32_000, memMb: 128_000, gpu: 0 },
        labels,
        zone = "zone-1",
        describeTask,
        guards = false,
    } = options;
    let life;
    let lives = 0;
    let nextControl = Math.floor(Math.random() * controls.length);
    const faults = { unhealthy: false, beforeAnswer: undefined };

    const { handlers, tick } = createOrders(fleet, { name, describeTask, capacity, guards, faults });
    const answer = async (one, incoming, outgoing) => {
        const chunks = [];
        for await (const chunk of incoming) {
            chunks.push(chunk);
        }
        const body = chunks.length === 0 ? {} : JSON.parse(Buffer.concat(chunks).toString("utf8"));
        if (life !== one) {
            incoming.socket.destroy();
            return;
        }
        const respond = (status, content) => {
            if (life !== one) {
                incoming.socket.destroy();
                return;
            }
            const text = JSON.stringify({
                clockMs: clockOf(one),
                ...(one.born === undefined ? {} : { born: one.born }),
                ...content,
            });
            outgoing.writeHead(status, {
                "content-type": "application/json",
                "content-length": Buffer.byteLength(text),
            });
            outgoing.end(text);
        };
        const path = incoming.url;
        if (path === "/health") {
            respond(faults.unhealthy ? 503 : 200, {});
            return;
        }
        if (incoming.headers["x-target-instance"] !== undefined && incoming.headers["x-target-instance"] !== one.id) {
            respond(421, {});
            return;
        }
        const handler = handlers[path];
        if (handler === undefined) {
            respond(404, {});
            return;
        }
        const intercepted = await faults.intercept?.(path, body, one, () => handler(one, body));
        if (intercepted === "silent") {
            return;
        }
        const [status, content] = intercepted ?? await handler(one, body);
        respond(status, content);
    };
    /** Carries out an order that was under way for long, on the minion that runs now. */
    faults.runLate = (path, body) => {
        if (life !== undefined) {
            void handlers[path]?.(life, body);
        }
    };
    const keepBeating = async one => {
        let address;
        while (life === one) {
            one.beat += 1;
            const target = address ?? controls[nextControl % controls.length];
            const isDraining = one.isDraining;
            const { status, json } = await call({
                address: target,
                method: "PUT",
                path: `/api/instances/${one.id}`,
                body: {
                    service,
                    address: `${ip}:${port}`,
                    zone,
                    version: "v1",
                    slots: 8,
                    state: isDraining ? "draining" : "ready",
                    ...(isDraining ? { remainingMs: bounds.drainMs } : {}),
                    coldRemainingMs: 0,
                    ...(one.born === undefined ? {} : { born: one.born }),
                    capacity,
                    labels: one.labels,
                    clockMs: clockOf(one),
                    seq: one.beat,
                },
            });
            if (status >= 200 && status < 300) {
                address = json?.heartbeatAddress;
                if (isDraining) {
                    one.drainAckedAtMs ??= performance.now();
                }
                await Promise.race([sleep(bounds.heartbeatMs), one.beatNow.promise]);
                one.beatNow = createSignal();
            }
            else {
                address = undefined;
                nextControl += 1;
                await sleep(50);
            }
        }
    };
    const machine = {
        name,
        faults,
        findLife: () => life,
        start: async ({ id, born, labels: newLabels } = {}) => {
            lives += 1;
            const one = {
                id: id ?? `i-${name}-${lives}`,
                born,
                labels: newLabels ?? labels,
                startedAtMs: performance.now(),
                token: 0,
                leaseUntil: 0,
                running: new Map(),
                finished: [],
                past: new Map(),
                sequence: 0,
                waiting: new Set(),
                beat: 0,
                isDraining: false,
                drainAckedAtMs: undefined,
                beatNow: createSignal(),
            };
            one.server = createServer({ keepAliveTimeout: 60_000 }, (incoming, outgoing) => {
                answer(one, incoming, outgoing).catch(() => incoming.socket.destroy());
            });
            for (let attempt = 0;; attempt += 1) {
                try {
                    await new Promise((resolve, reject) => {
                        one.server.once("error", reject);
                        one.server.listen(port, ip, resolve);
                    });
                    break;
                }
                catch (error) {
                    if (attempt > 100) {
                        throw error;
                    }
                    await sleep(20);
                }
            }
            life = one;
            one.timer = setInterval(() => tick(one), tickMs);
            void keepBeating(one);
            fleet.record("minion up", { minion: one.id });
            return one;
        },
        /** Ends the minion without notice, with all that runs on it. */
        crash: () => {
            const one = life;
            if (one === undefined) {
                return;
            }
            [...one.running.values()].forEach(run => {
                run.endedAtMs = performance.now();
                run.how = "crashed";
                if (run.plan.gang !== undefined) {
                    fleet.gangs.get(formatGangKey(run.task, run.run))?.delete(run);
                }
            });
            const broken = [...one.running.values()].filter(run => run.plan.gang !== undefined);
            one.running.clear();
            life = undefined;
            clearInterval(one.timer);
            one.server.close();
            one.server.closeAllConnections();
            broken.forEach(run =>
                [...fleet.gangs.get(formatGangKey(run.task, run.run)) ?? []].forEach(member => member.end("broken"))
            );
            fleet.record("minion crashed", { minion: one.id });
        },
        /** Says that it drains, and leaves when the drain time is over. */
        drain: async () => {
            const one = life;
            one.isDraining = true;
            one.beatNow.resolve();
            const startedAtMs = performance.now();
            while (life === one && one.drainAckedAtMs === undefined && performance.now() - startedAtMs < 6_000) {
                await sleep(10);
            }
            await sleep(bounds.drainMs + 500);
            await call({ address: controls[0], method: "DELETE", path: `/api/instances/${one.id}`, body: {} });
            machine.crash();
        },
        close: () => {
            machine.crash();
        },
    };
    fleet.minions.push(machine);
    return machine;
}
