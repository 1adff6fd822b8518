import { silentLogger } from "@chestnutspool/logger";
import { createMetrics } from "@chestnutspool/record-metrics";
import type { RelayedAnswer, WorkerCallMessage } from "@chestnutspool/types";
import assert from "node:assert/strict";
import type { RelayedWorker } from "../choose-relay.js";
import { createRelayPool, type RelayPool } from "../relay-pool.js";

/** Availability zone of the workers and relays. */
export const zone = "z";

/** A message with calls to a relay. */
export interface Sent {
    readonly to: string;
    readonly message: Extract<WorkerCallMessage, { kind: "calls"; }>;
}

/** A pool whose messages and flushes are carried out by the test. */
export class TestPool {
    nowMs = 0;
    readonly sent: Sent[] = [];
    readonly disconnected = new Set<string>();
    readonly metrics = createMetrics();
    readonly pool: RelayPool;
    private flushes: (() => void)[] = [];

    constructor() {
        this.pool = createRelayPool({
            incarnation: "run-1",
            sendMessage: (to, message) => {
                assert.equal(message.kind, "calls");
                if (message.kind !== "calls" || this.disconnected.has(to)) {
                    return false;
                }
                this.sent.push({ to, message });
                return true;
            },
            isConnected: relay => !this.disconnected.has(relay),
            readNowMs: () => this.nowMs,
            scheduleFlush: flush => {
                this.flushes.push(flush);
            },
            logger: silentLogger,
            metrics: this.metrics,
        });
    }

    advance(ids: readonly string[] | undefined, elapsedMs = 100): void {
        this.nowMs += elapsedMs;
        this.pool.advance(ids?.map(id => ({ id, address: `${id}:1` })), this.nowMs);
    }

    flush(): void {
        const flushes = this.flushes;
        this.flushes = [];
        flushes.forEach(flush => flush());
    }

    answer(from: string, answers: readonly RelayedAnswer[] = [], incarnation = "run-1"): void {
        this.pool.handleAnswers(from, { kind: "answers", incarnation, availabilityZone: zone, answers });
    }

    /** Messages with calls that were sent since the last call of this method. */
    takeCalls(): Sent[] {
        return this.sent.splice(0).filter(({ message }) => message.calls.length > 0);
    }

    countEvents(name: string): number {
        return this.metrics.readCounters().find(counter => counter.name === name)?.value ?? 0;
    }
}

/** A worker that calls are for. */
export const worker: RelayedWorker = { id: "w", address: "10.0.0.1:80", availabilityZone: zone };
/** The run that calls stop. */
export const run = { job: "j", occurrence: 0, step: 0, position: 0, run: 1 };

/** Starts a call at the relay that is chosen; its answers are added to `outcomes`. */
export function startStop(testPool: TestPool, outcomes: string[], called: RelayedWorker = worker): string | undefined {
    const relay = testPool.pool.findRelay(called);
    if (relay !== undefined) {
        testPool.pool.startCall(relay, called, { kind: "stopRun", run, fencingToken: 1 }, {
            limitMs: 1_000,
            patienceMs: 0,
        }, answer => {
            outcomes.push(answer.kind);
        });
    }
    return relay;
}

/** Creates a pool whose relays have answered. */
export function openTestPool(ids: readonly string[]): TestPool {
    const testPool = new TestPool();
    testPool.advance(ids);
    ids.forEach(id => testPool.answer(id));
    testPool.takeCalls();
    return testPool;
}

/** Lets time pass in steps of a probe interval; the given relays answer each probe. */
export function pass(testPool: TestPool, ids: readonly string[], answering: readonly string[], steps: number): void {
    for (let step = 0; step < steps; step += 1) {
        testPool.advance(ids);
        answering.forEach(id => testPool.answer(id));
    }
}
