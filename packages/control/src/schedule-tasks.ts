import { readMonotonicMs, readWallMs } from "@chestnutspool/types";
import { Effect } from "effect";
import { type ControlContext, proposeAll } from "./control-context.js";
import type { LeaderMemory } from "./leader-memory.js";

/** Largest number of commands in one proposal; further decisions of a pass are proposed after it. */
const proposalMaxCommands = 500;
/** Interval of passes without a state change, for tasks whose backoff ended and for mitigations that depend on time. */
const idlePassIntervalMs = 1_000;

function isPassDue(context: ControlContext, memory: LeaderMemory, nowMs: number): boolean {
    return memory.hasNewReports || context.machine.state.index !== memory.plannedIndex
        || nowMs - memory.plannedAtMs >= idlePassIntervalMs;
}

/** Runs a pass and proposes its decisions, when the state changed, usage was reported or the idle interval is over. */
export const scheduleTasks = Effect.fnUntraced(function*(context: ControlContext, memory: LeaderMemory) {
    const nowMs = yield* readMonotonicMs;
    if (!isPassDue(context, memory, nowMs)) {
        return;
    }
    const { machine, placer, logger } = context;
    memory.hasNewReports = false;
    memory.plannedIndex = machine.state.index;
    memory.plannedAtMs = nowMs;
    const decisions = placer.planPlacements(machine.state, yield* readWallMs);
    for (let first = 0; first < decisions.length; first += proposalMaxCommands) {
        const results = yield* proposeAll(context, decisions.slice(first, first + proposalMaxCommands));
        const refused = results.filter(result => result.kind === "refused").length;
        if (refused > 0) {
            logger.debug("placement decisions refused", { refused, decisions: results.length });
        }
    }
});
