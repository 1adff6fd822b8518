import type { ContentionMemory } from "@chestnutspool/plan-jobs";
import type { Term } from "./term.js";

/** Limit of log lines about turns of size groups for each check of the waiting steps. */
const linesPerCheck = 4;

/** Logs turns that size groups were given since the last call, and counts them by group. */
export function logGivenTurns({ logger, metrics }: Pick<Term, "logger" | "metrics">, memory: ContentionMemory): void {
    const turns = memory.givenTurns.splice(0);
    turns.forEach(({ group, queue, service }) => metrics.countEvent(`shares.turns.${group}`, queue, service));
    for (const turn of turns.slice(0, linesPerCheck)) {
        logger.info("size group gets its turn", {
            queue: turn.queue,
            pool: turn.service,
            priority: turn.priority,
            job: turn.key,
            sizeGroup: turn.group,
            offeredShare: Number(turn.offeredShare.toFixed(3)),
            startedShare: Number(turn.startedShare.toFixed(3)),
            creditCoreMs: Math.round(turn.credit),
            jobCoreMs: Math.round(turn.workToStart),
            completionShare: Number(turn.completion.toFixed(2)),
            drainMs: Math.round(turn.drainMs),
            turnsSinceLastCheck: turns.length,
        });
    }
}
