// The runs of a minion and the orders that it carries out, as the pages on running tasks describe them.
import { bounds } from "./system.mjs";

const endsPerReport = 500;

/** Key of a run of a gang, which all of its members share. */
export function formatGangKey(task, run) {
    return `${task.slice(0, task.lastIndexOf("."))}#${run}`;
}

/** Reading of a minion's own clock. */
export function clockOf(one) {
    return Math.floor(performance.now() - one.startedAtMs);
}

/** Creates the handlers of the orders to the minions of a machine. */
export function createOrders(fleet, { name, describeTask, capacity, guards, faults }) {
    const endRun = (one, run, how, savesNow = false) => {
        if (one.running.get(run.task) !== run) {
            return;
        }
        one.running.delete(run.task);
        advanceWork(run);
        if (savesNow && run.plan.saves && run.beganAtMs !== undefined) {
            save(run);
        }
        one.past.set(run.task, Math.max(one.past.get(run.task) ?? 0, run.run));
        run.endedAtMs = performance.now();
        run.how = how;
        one.sequence += 1;
        run.sequence = one.sequence;
        one.finished.push(run);
        fleet.record("ended", { minion: one.id, task: run.task, run: run.run, how, saved: run.checkpoint });
        if (run.plan.gang !== undefined) {
            const members = fleet.gangs.get(formatGangKey(run.task, run.run));
            members?.delete(run);
            if (how !== "done") {
                [...members ?? []].forEach(member => member.end("broken"));
            }
        }
        one.waiting.forEach(wake => wake());
    };
    let saveCount = 0;
    const save = run => {
        saveCount += 1;
        const progress = Math.round(run.workedMs);
        run.checkpoint = `${run.task}@${progress}#${name}.${saveCount}`;
        run.savedAtWorkMs = run.workedMs;
    };
    const advanceWork = run => {
        const nowMs = performance.now();
        if (run.beganAtMs !== undefined) {
            run.workedMs += Math.max(0, nowMs - Math.max(run.advancedAtMs, run.beganAtMs)) * run.pace / 100;
        }
        run.advancedAtMs = nowMs;
    };
    const begin = run => {
        run.beganAtMs = performance.now() + (run.startCheckpoint === "" ? 0 : bounds.restoreMs);
        run.advancedAtMs = run.beganAtMs;
    };
    const tick = one => {
        const nowMs = performance.now();
        if (clockOf(one) >= one.leaseUntil) {
            [...one.running.values()].forEach(run => endRun(one, run, "lapsed"));
            one.finished.forEach(run => {
                run.hasLeaseLapsed = true;
            });
            return;
        }
        for (const run of [...one.running.values()]) {
            if (run.stopAtMs !== undefined && nowMs >= run.stopAtMs) {
                endRun(one, run, "stopped", true);
                continue;
            }
            if (run.beganAtMs === undefined) {
                if (run.plan.gang !== undefined && nowMs - run.startedAtMs >= bounds.gangTimeoutMs) {
                    endRun(one, run, "alone");
                }
                continue;
            }
            advanceWork(run);
            if (run.plan.fails?.(run.run, run) && run.workedMs >= (run.plan.failMs ?? 100) + run.resumedMs) {
                endRun(one, run, "failed");
                continue;
            }
            if (run.plan.saves && run.workedMs - run.savedAtWorkMs >= bounds.checkpointS * 1_000) {
                save(run);
            }
            if (!run.plan.lasts && run.workedMs >= run.plan.ms) {
                if (run.plan.gang !== undefined) {
                    [...fleet.gangs.get(formatGangKey(run.task, run.run)) ?? []].forEach(member => member.end("done"));
                }
                else {
                    endRun(one, run, "done");
                }
            }
        }
    };
    const accept = (one, body) => {
        const token = body.fencingToken ?? 0;
        if (token < one.token) {
            return false;
        }
        one.token = token;
        return true;
    };
    const extend = (one, until) => {
        if (until !== undefined) {
            one.leaseUntil = Math.max(one.leaseUntil, Math.min(until, clockOf(one) + bounds.maxHoldMs));
        }
    };
    const sumUse = (one, key) =>
        [...one.running.values()].reduce(
            (sum, run) => sum + (key === "cpu" && run.plan.fills ? 0 : run.plan[key] ?? 0),
            0,
        );
    const startRun = (one, body) => {
        if (!accept(one, body)) {
            return [409, { reason: "fence" }];
        }
        if (body.deadlineMs <= clockOf(one)) {
            return [409, { reason: "late" }];
        }
        extend(one, body.deadlineMs);
        const present = one.running.get(body.task);
        if (present?.run === body.run) {
            return [200, {}];
        }
        if (body.run <= (one.past.get(body.task) ?? 0) || (present !== undefined && body.run < present.run)) {
            return [409, { reason: "old" }];
        }
        if (faults.unhealthy) {
            return [503, {}];
        }
        const plan = describeTask(body.task, body.spec) ?? { ms: 500 };
        if (
            guards && (sumUse(one, "cpu") + (plan.fills ? 0 : plan.cpu ?? 0) > capacity.cpu
                || sumUse(one, "memMb") + (plan.memMb ?? 0) > capacity.memMb)
        ) {
            return [409, { reason: "room" }];
        }
        const resumed = Number(/@(\d+)#/.exec(body.checkpoint ?? "")?.[1] ?? 0);
        const run = {
            minion: one.id,
            machine: name,
            labels: one.labels,
            task: body.task,
            run: body.run,
            spec: body.spec,
            token: body.fencingToken ?? 0,
            startCheckpoint: body.checkpoint ?? "",
            checkpoint: body.checkpoint ?? "",
            startedAtMs: performance.now(),
            startedWallMs: Date.now(),
            beganAtMs: undefined,
            advancedAtMs: performance.now(),
            workedMs: resumed,
            resumedMs: resumed,
            savedAtWorkMs: resumed,
            pace: 100,
            plan,
            endedAtMs: undefined,
            how: undefined,
            sequence: undefined,
            notedAtMs: undefined,
            stopAtMs: undefined,
        };
        run.end = how => endRun(one, run, how);
        run.begin = () => begin(run);
        one.running.set(body.task, run);
        fleet.runs.push(run);
        fleet.record("started", {
            minion: one.id,
            task: body.task,
            run: body.run,
            token: run.token,
            checkpoint: run.startCheckpoint,
        });
        if (plan.gang === undefined) {
            begin(run);
        }
        else {
            const key = formatGangKey(run.task, run.run);
            const members = fleet.gangs.get(key) ?? new Set();
            fleet.gangs.set(key, members);
            members.add(run);
            if (members.size === plan.gang) {
                members.forEach(member => member.begin());
            }
        }
        return [200, {}];
    };
    const stopRun = (one, body) => {
        if (!accept(one, body)) {
            return [409, { reason: "fence" }];
        }
        one.past.set(body.task, Math.max(one.past.get(body.task) ?? 0, body.run));
        const run = one.running.get(body.task);
        if (run?.run === body.run) {
            run.stopAtMs ??= performance.now() + bounds.stopMs / 2;
        }
        return [200, {}];
    };
    const hold = async (one, body) => {
        if (!accept(one, body)) {
            return [409, { reason: "fence" }];
        }
        extend(one, body.deadlineMs);
        const cursor = body.ackCursor ?? 0;
        one.finished.filter(run => run.sequence <= cursor).forEach(run => {
            run.notedAtMs ??= performance.now();
        });
        one.finished = one.finished.filter(run => run.sequence > cursor);
        if (one.finished.length === 0 && (body.waitMs ?? 0) > 0) {
            await new Promise(resolve => {
                const finish = () => {
                    clearTimeout(timer);
                    one.waiting.delete(finish);
                    resolve();
                };
                const timer = setTimeout(finish, Math.min(2_000, body.waitMs));
                one.waiting.add(finish);
            });
        }
        return [200, {
            running: [...one.running.values()].map(run => {
                advanceWork(run);
                const percent = run.plan.lasts
                    ? (run.workedMs - run.resumedMs >= 300 ? 100 : 50)
                    : Math.min(99, Math.floor(100 * run.workedMs / run.plan.ms));
                const reading = run.plan.targetMs === undefined
                    ? Math.round((run.plan.cpu ?? 0) * run.pace / 100)
                    : Math.round(run.plan.targetMs / 4);
                return [run.task, run.run, run.checkpoint, run.beganAtMs === undefined ? 0 : percent, reading];
            }),
            finished: one.finished.slice(0, endsPerReport).map(run => [
                run.sequence,
                run.task,
                run.run,
                run.how,
                run.checkpoint,
            ]),
        }];
    };
    const pace = (one, body) => {
        if (!accept(one, body)) {
            return [409, { reason: "fence" }];
        }
        const run = one.running.get(body.task);
        if (run?.run === body.run) {
            advanceWork(run);
            run.pace = body.percent;
        }
        return [200, {}];
    };
    const handlers = { "/api/run-start": startRun, "/api/run-stop": stopRun, "/api/hold": hold, "/api/pace": pace };
    return { handlers, tick };
}
