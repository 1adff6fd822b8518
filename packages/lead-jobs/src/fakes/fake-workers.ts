import { formatTaskKey } from "@chestnutspool/job-state";
import {
    type OrderAnswer,
    readMonotonicMs,
    type RenewAnswer,
    type RenewOrder,
    type RunKey,
    type RunOutcome,
    type StartOrder,
    type WorkerInfo,
    type WorkerRef,
} from "@chestnutspool/types";
import { Effect, type Scope } from "effect";
import { createFakeWorker, type FakeWorker, isStartFault, type ListedEnd } from "./fake-worker.js";
import {
    computeProgress,
    computeReading,
    createPacedWork,
    listDueEnds,
    type RunBehaviour,
    setPace,
} from "./paced-run.js";
import { type FakeWorkers, type RestartPlan, type StartedRun, testLeaseMs } from "./worker-types.js";

/** Delay after which a late order is carried out, in milliseconds. */
export const lateOrderMs = 4_000;

/** Delay of the answers of a slow worker, in milliseconds. */
export const slowAnswerMs = 1_500;

/** Interval at which a call that hangs looks for the next worker, in milliseconds. */
const hangingPollMs = 10;

/** Creates fake workers. Late orders are carried out by fibers of the scope. */
export const createFakeWorkers: Effect.Effect<FakeWorkers, never, Scope.Scope> = Effect.gen(function*() {
    const scope = yield* Effect.scope;
    const runInBackground = Effect.runForkWith(yield* Effect.context<never>());
    const workers = new Map<string, FakeWorker>();
    const startedRuns: StartedRun[] = [];
    /** Ids of the workers at whose address the next worker listens. */
    const replacedIds = new Set<string>();
    /** Ids of the workers that have crashed and whose connections are open. */
    const silentIds = new Set<string>();
    let isCrashing: (run: RunKey) => boolean = () => false;
    let restart: RestartPlan | undefined;
    let announce: (worker: WorkerInfo) => Effect.Effect<void> = () => Effect.void;
    let decide: (run: RunKey, worker: string) => RunBehaviour = () => ({
        runMs: 1_000,
        outcome: "succeeded",
    });

    const readClock = (worker: FakeWorker, nowMs: number): number =>
        Math.floor((nowMs - worker.clockStartMs) * worker.clockRate);

    const endRun = (worker: FakeWorker, key: string, outcome: RunOutcome, atMs: number): void => {
        const running = worker.running.get(key);
        if (running === undefined) {
            return;
        }
        worker.running.delete(key);
        worker.highestPastRuns.set(key, Math.max(worker.highestPastRuns.get(key) ?? 0, running.key.run));
        running.record.endedAtMs = atMs;
        running.record.outcome = outcome;
        const { record } = running;
        record.isAcknowledged = worker.nextSequence <= worker.acknowledged;
        if (!record.isAcknowledged) {
            const end = { ...running.key, outcome, checkpoint: "", sequence: worker.nextSequence };
            worker.ended.push({ end, record });
        }
        worker.nextSequence += 1;
    };

    /** Advances a worker to `nowMs`: runs that are due end, and all others end if the lease has expired. */
    const advance = (worker: FakeWorker, nowMs: number): void => {
        const leaseEndMs = worker.clockStartMs + worker.leaseUntilMs / worker.clockRate;
        for (const { key, outcome, endsAtMs } of listDueEnds(worker.running, Math.min(nowMs, leaseEndMs))) {
            endRun(worker, key, outcome, endsAtMs);
        }
        if (leaseEndMs <= nowMs) {
            [...worker.running.keys()].forEach(key => endRun(worker, key, "lapsed", leaseEndMs));
            worker.ended.forEach(({ record }) => {
                record.hasLapsedSince = true;
            });
        }
    };

    const acceptToken = (worker: FakeWorker, token: number): boolean => {
        if (token < worker.token) {
            return false;
        }
        worker.token = token;
        return true;
    };

    const addWorker = (info: WorkerInfo, clockRate = 1, clockStartMs = 0): void => {
        silentIds.delete(info.id);
        workers.set(info.id, createFakeWorker(info, clockRate, clockStartMs));
    };

    const removeWorker = (id: string, nowMs: number): void => {
        const worker = workers.get(id);
        if (worker !== undefined) {
            advance(worker, nowMs);
            [...worker.running.keys()].forEach(key => endRun(worker, key, "lapsed", nowMs));
            workers.delete(id);
        }
    };

    const crashWorker = (id: string, nowMs: number): void => {
        const worker = workers.get(id);
        const crashed = worker?.info;
        if (worker !== undefined) {
            advance(worker, nowMs);
            worker.running.forEach(({ record }) => {
                record.hasCrashed = true;
            });
        }
        removeWorker(id, nowMs);
        if (crashed === undefined || restart === undefined) {
            return;
        }
        const { afterMs, nextInfo, keepsConnections = false } = restart;
        if (keepsConnections) {
            silentIds.add(id);
        }
        runInBackground(Effect.forkIn(
            Effect.gen(function*() {
                yield* Effect.sleep(afterMs);
                const restartedAtMs = yield* readMonotonicMs;
                const next = nextInfo(crashed, restartedAtMs);
                silentIds.delete(id);
                addWorker(next, 1, restartedAtMs);
                if (next.id !== id) {
                    replacedIds.add(id);
                }
                yield* announce(next);
            }),
            scope,
        ));
    };

    const refuse = (worker: FakeWorker, reason: Extract<OrderAnswer, { kind: "refused"; }>["reason"], nowMs: number) =>
        ({ kind: "refused", reason, clockMs: readClock(worker, nowMs) }) as const;

    const extendLease = (worker: FakeWorker, leaseUntilMs: number, nowMs: number): void => {
        const shortenedMs = Math.min(leaseUntilMs, readClock(worker, nowMs) + testLeaseMs);
        worker.leaseUntilMs = Math.max(worker.leaseUntilMs, shortenedMs);
    };

    const carryOutStart = (worker: FakeWorker, order: StartOrder, nowMs: number): OrderAnswer => {
        advance(worker, nowMs);
        const key = formatTaskKey(order);
        if (!acceptToken(worker, order.fencingToken)) {
            return refuse(worker, "staleToken", nowMs);
        }
        if (order.leaseUntilMs <= readClock(worker, nowMs)) {
            return refuse(worker, "leaseOver", nowMs);
        }
        extendLease(worker, order.leaseUntilMs, nowMs);
        if (worker.running.get(key)?.key.run === order.run) {
            return { kind: "done", clockMs: readClock(worker, nowMs) };
        }
        if (order.run <= (worker.highestPastRuns.get(key) ?? 0) || worker.running.has(key)) {
            return refuse(worker, "staleRun", nowMs);
        }
        const { job, occurrence, step, position, run } = order;
        const behaviour = decide(order, worker.info.id);
        const record: StartedRun = {
            worker: worker.info.id,
            task: key,
            run,
            startedAtMs: nowMs,
            endedAtMs: undefined,
            outcome: undefined,
            hasCrashed: false,
            isAcknowledged: false,
            hasLapsedSince: false,
        };
        startedRuns.push(record);
        if (isCrashing(order)) {
            record.endedAtMs = nowMs;
            crashWorker(worker.info.id, nowMs);
            return { kind: "unknown", detail: "socket hang up" };
        }
        worker.running.set(key, {
            key: { job, occurrence, step, position, run },
            record,
            work: createPacedWork(behaviour.runMs, nowMs),
            outcome: behaviour.outcome,
            load: behaviour.load,
        });
        return { kind: "done", clockMs: readClock(worker, nowMs) };
    };

    const carryOutStop = (worker: FakeWorker, run: RunKey, token: number, nowMs: number): OrderAnswer => {
        advance(worker, nowMs);
        if (!acceptToken(worker, token)) {
            return refuse(worker, "staleToken", nowMs);
        }
        const key = formatTaskKey(run);
        worker.highestPastRuns.set(key, Math.max(worker.highestPastRuns.get(key) ?? 0, run.run));
        if (worker.running.get(key)?.key.run === run.run) {
            endRun(worker, key, "stopped", nowMs);
        }
        return { kind: "done", clockMs: readClock(worker, nowMs) };
    };

    const carryOutPace = (
        worker: FakeWorker,
        run: RunKey,
        percent: number,
        token: number,
        nowMs: number,
    ): OrderAnswer => {
        advance(worker, nowMs);
        if (!acceptToken(worker, token)) {
            return refuse(worker, "staleToken", nowMs);
        }
        const running = worker.running.get(formatTaskKey(run));
        if (running?.key.run === run.run) {
            running.work = setPace(running.work, percent, nowMs);
        }
        return { kind: "done", clockMs: readClock(worker, nowMs) };
    };

    /** Waits for the next worker under an id whose worker has crashed without closing its connections, at most `limitMs`. */
    const awaitNextWorker = Effect.fnUntraced(function*(id: string, limitMs: number) {
        const endMs = (yield* readMonotonicMs) + limitMs;
        while (silentIds.has(id) && (yield* readMonotonicMs) < endMs) {
            yield* Effect.sleep(hangingPollMs);
        }
        return (yield* readMonotonicMs) < endMs ? workers.get(id) : undefined;
    });

    /** Delivers an order to a worker, subject to the worker's current fault. */
    const deliver = Effect.fnUntraced(function*(
        info: WorkerRef,
        limitMs: number,
        isStart: boolean,
        carryOut: (worker: FakeWorker, nowMs: number) => OrderAnswer,
    ) {
        yield* Effect.sleep(1);
        const isHanging = silentIds.has(info.id);
        const worker = isHanging ? yield* awaitNextWorker(info.id, limitMs) : workers.get(info.id);
        if (worker === undefined && isHanging) {
            return { kind: "unknown", detail: "no answer" } satisfies OrderAnswer;
        }
        if (worker === undefined) {
            return replacedIds.has(info.id)
                ? { kind: "refused", reason: "otherWorker", clockMs: undefined } satisfies OrderAnswer
                : { kind: "notSent", detail: "connection refused", isRefused: true } satisfies OrderAnswer;
        }
        const fault = isStart || !isStartFault(worker.fault) ? worker.fault : "none";
        switch (fault) {
            case "none":
                return carryOut(worker, yield* readMonotonicMs);
            case "cut":
                yield* Effect.sleep(limitMs);
                return { kind: "notSent", detail: "no connection" } satisfies OrderAnswer;
            case "answersLost":
                carryOut(worker, yield* readMonotonicMs);
                yield* Effect.sleep(limitMs);
                return { kind: "unknown", detail: "no answer" } satisfies OrderAnswer;
            case "slow": {
                const answer = carryOut(worker, yield* readMonotonicMs);
                yield* Effect.sleep(Math.min(slowAnswerMs, limitMs));
                return slowAnswerMs < limitMs
                    ? answer
                    : { kind: "unknown", detail: "no answer" } satisfies OrderAnswer;
            }
            case "startsLost":
                yield* Effect.sleep(limitMs);
                return { kind: "unknown", detail: "no answer" } satisfies OrderAnswer;
            case "late":
            case "startsLate":
            case "startsVeryLate":
                yield* Effect.forkIn(
                    Effect.gen(function*() {
                        yield* Effect.sleep(fault === "startsVeryLate" ? 2 * lateOrderMs : lateOrderMs);
                        // The worker may have started again under its id. While none runs at its address, the order is lost.
                        const current = workers.get(info.id);
                        if (current !== undefined) {
                            carryOut(current, yield* readMonotonicMs);
                        }
                    }),
                    scope,
                );
                yield* Effect.sleep(limitMs);
                return { kind: "unknown", detail: "no answer" } satisfies OrderAnswer;
        }
    });

    const carryOutRenewal = (worker: FakeWorker, order: RenewOrder, nowMs: number): OrderAnswer => {
        advance(worker, nowMs);
        if (!acceptToken(worker, order.fencingToken)) {
            return refuse(worker, "staleToken", nowMs);
        }
        if (order.leaseUntilMs !== undefined) {
            extendLease(worker, order.leaseUntilMs, nowMs);
        }
        worker.acknowledged = Math.max(worker.acknowledged, order.acknowledgedSequence);
        const isListed = ({ end }: ListedEnd): boolean => end.sequence > order.acknowledgedSequence;
        worker.ended.filter(listed => !isListed(listed)).forEach(({ record }) => {
            record.isAcknowledged = !record.hasLapsedSince;
        });
        worker.ended = worker.ended.filter(isListed);
        return { kind: "done", clockMs: readClock(worker, nowMs) };
    };

    const createReport = (worker: FakeWorker, nowMs: number): RenewAnswer => ({
        kind: "report",
        bornAtMs: worker.info.bornAtMs,
        clockMs: readClock(worker, nowMs),
        running: [...worker.running.values()].map(run => ({
            ...run.key,
            checkpoint: "",
            progressPercent: computeProgress(run.work, nowMs),
            lastReading: computeReading(run, worker.running.values(), nowMs),
        })),
        ended: worker.ended.map(({ end }) => end),
        isComplete: true,
    });

    const renewLease = Effect.fnUntraced(function*(info: WorkerRef, order: RenewOrder, limitMs: number) {
        const sentAtMs = yield* readMonotonicMs;
        const answer = yield* deliver(info, limitMs, false, (worker, nowMs) => carryOutRenewal(worker, order, nowMs));
        const worker = workers.get(info.id);
        if (answer.kind !== "done" || worker === undefined) {
            return answer.kind === "done" ? { kind: "unknown", detail: "the worker ended" } as const : answer;
        }
        const endMs = (yield* readMonotonicMs) + order.waitMs;
        for (let nowMs = yield* readMonotonicMs; worker.ended.length === 0 && nowMs < endMs;) {
            yield* Effect.sleep(Math.min(20, endMs - nowMs));
            nowMs = yield* readMonotonicMs;
            if (workers.get(info.id) !== worker) {
                yield* Effect.sleep(restart?.keepsConnections === true ? limitMs - (nowMs - sentAtMs) : 0);
                return { kind: "unknown", detail: "socket hang up" } as const;
            }
            advance(worker, nowMs);
        }
        const isInTime = (yield* readMonotonicMs) - sentAtMs < limitMs;
        return isInTime && (worker.fault === "none" || worker.fault === "slow" || isStartFault(worker.fault))
            ? createReport(worker, yield* readMonotonicMs)
            : { kind: "unknown", detail: "no answer" } satisfies RenewAnswer;
    });

    const fakes: FakeWorkers = {
        port: {
            startRun: (info, order, limitMs) =>
                deliver(info, limitMs, true, (worker, nowMs) => carryOutStart(worker, order, nowMs)),
            stopRun: (info, run, token, limitMs) =>
                deliver(info, limitMs, false, (worker, nowMs) => carryOutStop(worker, run, token, nowMs)),
            paceRun: (info, run, percent, token, limitMs) =>
                deliver(info, limitMs, false, (worker, nowMs) => carryOutPace(worker, run, percent, token, nowMs)),
            renewLease,
            closeConnections: () => undefined,
        },
        addWorker,
        removeWorker,
        crashWorker,
        setCrashingRuns: (crashing, plan, announceWorker) => {
            isCrashing = crashing;
            restart = plan;
            announce = announceWorker;
        },
        setFault: (id, fault) => {
            const worker = workers.get(id);
            if (worker !== undefined) {
                worker.fault = fault;
            }
        },
        setBehaviour: behaviour => {
            decide = behaviour;
        },
        countWorkersWithToken: token => [...workers.values()].filter(worker => worker.token >= token).length,
        readStartedRuns: nowMs => {
            workers.forEach(worker => advance(worker, nowMs));
            return startedRuns;
        },
    };
    return fakes;
});
