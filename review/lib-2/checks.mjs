/** Lists pairs of runs of one task that ran at the same time for longer than `slackMs`, by the history of the minions. */
export function listOverlaps(history, slackMs = 0) {
    const overlaps = [];
    const byTask = Map.groupBy === undefined ? groupByTask(history) : Map.groupBy(history, ({ task }) => task);
    for (const runs of byTask.values()) {
        for (const [index, first] of runs.entries()) {
            for (const second of runs.slice(index + 1)) {
                const fromMs = Math.max(first.startedMs, second.startedMs);
                const toMs = Math.min(first.endedMs ?? performance.now(), second.endedMs ?? performance.now());
                if (toMs - fromMs > slackMs) {
                    overlaps.push({ task: first.task, first, second, forMs: toMs - fromMs });
                }
            }
        }
    }
    return overlaps;
}

function groupByTask(history) {
    const byTask = new Map();
    for (const run of history) {
        byTask.set(run.task, [...byTask.get(run.task) ?? [], run]);
    }
    return byTask;
}
