import { readMonotonicMs, readWallMs } from "@chestnutspool/types";
import { Effect } from "effect";
import { type ControlContext, proposeAll } from "./context.js";
import type { LeaderMemory } from "./leader-memory.js";

/** Commands of one proposal; more decisions of a pass follow in the next ones. */
const batchLimit = 500;
/** A pass without a change, for tasks whose backoff ended and for mitigations that depend on time. */
const idlePassMs = 1_000;

function isPassDue(context: ControlContext, memory: LeaderMemory, nowMs: number): boolean {
    return memory.reportsArrived || context.machine.state.index !== memory.plannedIndex
        || nowMs - memory.plannedAtMs >= idlePassMs;
}

/** Makes one scheduling pass when something changed since the last one, and proposes its decisions. */
export const scheduleTasks = Effect.fnUntraced(function*(context: ControlContext, memory: LeaderMemory) {
    const nowMs = yield* readMonotonicMs;
    if (!isPassDue(context, memory, nowMs)) {
        return;
    }
    const { machine, placer, logger } = context;
    memory.reportsArrived = false;
    memory.plannedIndex = machine.state.index;
    memory.plannedAtMs = nowMs;
    const decisions = placer.planPlacements(machine.state, yield* readWallMs);
    for (let first = 0; first < decisions.length; first += batchLimit) {
        const results = yield* proposeAll(context, decisions.slice(first, first + batchLimit));
        const refused = results.filter(result => result.kind === "refused").length;
        if (refused > 0) {
            logger.debug("placement decisions refused", { refused, decisions: results.length });
        }
    }
});
