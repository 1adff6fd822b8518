import type { PlacementDecision, Placer } from "@chestnutspool/place-tasks";
import { advanceTasks, buildReports } from "./advance-tasks.js";
import { computePercentile, countJobTasks, countMaxInWindow, type PlacementOutcome } from "./outcome.js";
import { applyTraceEvent, createReplay, type Replay, traceStartMs } from "./replay-state.js";
import type { Trace } from "./trace.js";

/** Time between two placement passes of the replay, in milliseconds. */
const stepMs = 1_000;
/** Interval of the usage reports, in milliseconds. */
const reportIntervalMs = 5_000;
/** Delay of the usage reports, in milliseconds; reports of the platform may be as late. */
const reportDelayMs = 4_000;
/** Time after its creation from which a service is expected to run, in milliseconds. */
const serviceStartLimitMs = 60_000;

function applyDecision(replay: Replay, decision: PlacementDecision, nowMs: number): void {
    const result = replay.applyCommand(decision, nowMs);
    if (decision.kind === "requestEviction" && result.kind === "done") {
        replay.evictionTimes.push(nowMs);
    }
}

/** Measures how long service tasks wait from when they may be placed until they are placed. */
function recordWaits(replay: Replay, nowMs: number): void {
    const { state } = replay.machine;
    for (const id of state.pendingTasks) {
        const task = state.tasks.get(id);
        if (task !== undefined && state.works.get(task.work)?.spec.kind === "service" && task.notBeforeMs <= nowMs) {
            replay.waitingSince.set(id, replay.waitingSince.get(id) ?? nowMs);
        }
    }
    for (const [id, sinceMs] of replay.waitingSince) {
        if (!state.pendingTasks.has(id)) {
            replay.urgentWaits.push(nowMs - sinceMs);
            replay.waitingSince.delete(id);
        }
    }
}

function recordServiceShares(replay: Replay, nowMs: number): void {
    const { state } = replay.machine;
    for (const { spec, createdAtMs } of state.works.values()) {
        if (spec.kind !== "service" || nowMs - createdAtMs < serviceStartLimitMs) {
            continue;
        }
        let running = 0;
        for (let ordinal = 0; ordinal < spec.replicas; ordinal += 1) {
            running += state.tasks.get(`${spec.name}/${ordinal}`)?.phase === "running" ? 1 : 0;
        }
        replay.leastServiceShare = Math.min(replay.leastServiceShare, running / spec.replicas);
    }
}

function deliverReports(replay: Replay, placer: Placer, nowMs: number): void {
    if ((nowMs - traceStartMs) % reportIntervalMs === 0) {
        replay.pendingReports.push({ takenAtMs: nowMs, reports: buildReports(replay, reportDelayMs) });
    }
    while (replay.pendingReports[0] !== undefined && replay.pendingReports[0].takenAtMs + reportDelayMs <= nowMs) {
        placer.recordReports(replay.pendingReports[0].reports, nowMs);
        replay.pendingReports.shift();
    }
}

function buildOutcome(replay: Replay, endMs: number): PlacementOutcome {
    const { state } = replay.machine;
    return {
        slowdownP50: computePercentile(replay.slowdowns, 0.5),
        slowdownP99: computePercentile(replay.slowdowns, 0.99),
        urgentWaitP99Ms: computePercentile(replay.urgentWaits, 0.99),
        urgentWaiting: replay.waitingSince.size,
        leastServiceShare: replay.leastServiceShare,
        ...countJobTasks(state, endMs),
        batchCoreSeconds: Math.round(replay.completedCoreMs / 1000),
        lostCoreSeconds: Math.round(replay.lostCoreMs / 1000),
        evictions: replay.evictionTimes.length,
        evictionsPerMinute: countMaxInWindow(replay.evictionTimes, 60_000),
        wastedStarts: replay.wastedStarts,
        impossible: [...state.tasks.values()].filter(task => task.phase === "impossible").map(task => ({
            task: task.id,
            reason: task.reason,
            afterMs: (task.endedAtMs ?? 0) - task.createdAtMs,
        })),
        refused: replay.refused,
    };
}

/** Replays a trace through a placer and the real state machine. The same trace and placer give the same outcome. */
export function replayPlacementTrace(
    trace: Trace,
    placer: Placer,
    observe?: (replay: Replay, nowMs: number) => void,
): PlacementOutcome {
    const replay = createReplay(trace.head);
    let nextEvent = 0;
    const endMs = traceStartMs + trace.head.durationMs;
    for (let nowMs = traceStartMs; nowMs <= endMs; nowMs += stepMs) {
        for (let event = trace.events[nextEvent]; event !== undefined; event = trace.events[nextEvent]) {
            if (traceStartMs + event.atMs > nowMs) {
                break;
            }
            applyTraceEvent(replay, event, nowMs);
            nextEvent += 1;
        }
        advanceTasks(replay, nowMs, stepMs);
        deliverReports(replay, placer, nowMs);
        recordWaits(replay, nowMs);
        for (const decision of placer.planPlacements(replay.machine.state, nowMs)) {
            applyDecision(replay, decision, nowMs);
        }
        recordWaits(replay, nowMs);
        recordServiceShares(replay, nowMs);
        observe?.(replay, nowMs);
    }
    return buildOutcome(replay, endMs);
}
