import { makeJob, makeMachine, makeStep, makeWorker, testStartMs } from "@chestnutspool/job-state/fakes";
import { createInterferenceModel } from "@chestnutspool/learn-interference";
import { createPlanMemory, type PlanInput, planStarts, type TrialObstacle } from "@chestnutspool/plan-jobs";
import type { RunStart } from "@chestnutspool/types";
import assert from "node:assert/strict";
import { test } from "node:test";
import { createRecordingLogger } from "./fakes/recording-logger.js";
import { logBlockedTrials, logWaitingSteps } from "./log-decisions.js";

const passMs = 100;

// Guards against tasks of a job that lasts of which the log tells nothing, or only that not all fit, while they wait for a trial.
test("the log tells which rule keeps a task from its trial, and since when, though another task of its job runs", () => {
    const machine = makeMachine(["w0", "w1"].map(id => makeWorker(id)));
    const resources = { milliCpu: 100, memoryMib: 10, accelerators: 0 };
    machine.submit(makeJob("lasting", [makeStep({ count: 4, longRunning: true, resources })]));
    const makeStart = (position: number, worker: string): RunStart => ({
        job: "lasting",
        occurrence: 0,
        step: 0,
        position,
        run: 1,
        worker,
    });
    const suspectedRuns = [1, 2, 3].map(position => makeStart(position, "w1"));
    machine.apply({ kind: "startRuns", starts: [makeStart(0, "w0"), ...suspectedRuns] });
    const crash = { suspectedRuns, isCertain: true, clearedRuns: [] };
    machine.apply({ kind: "expireWorker", worker: "w1", isGone: false, checkpoints: [], crash });
    const input: PlanInput = {
        state: machine.state,
        isUsable: () => true,
        findStartLimit: () => undefined,
        findFailedWorker: () => undefined,
        interference: createInterferenceModel(),
        findRunStatuses: () => undefined,
    };
    const { logger, lines } = createRecordingLogger();
    const memory = createPlanMemory();
    const loggedReasons = new Map<string, string>();
    const loggedObstacles = new Map<string, TrialObstacle>();
    for (let atMs = 0; atMs <= 2_000; atMs += passMs) {
        const nowMs = testStartMs + atMs;
        machine.apply({ kind: "startRuns", starts: planStarts(input, nowMs, memory) }, nowMs);
        logWaitingSteps({ logger }, input, memory, loggedReasons, nowMs);
        logBlockedTrials({ logger }, memory, loggedObstacles, nowMs);
    }
    const trials = lines.filter(({ message }) => message === "step waits for a trial");
    assert.deepEqual(
        trials.map(({ fields: { job, tasks, runsInProgress, waitedMs, obstacle } }) => [
            job,
            tasks,
            runsInProgress,
            waitedMs,
            obstacle,
        ]),
        [["lasting", 2, 2, 1_000, "noFreeTrial"]],
    );
    const waits = lines.filter(({ message }) => message === "step waits");
    assert.deepEqual(waits.map(({ fields: { reason, suitable } }) => [reason, suitable]), [["needsTrial", 0]]);
});
