// Checks of the rules on what the minions have seen.

/** Lists the tasks of which two runs were at work at the same time on minions that were up. */
export function findDoubleRuns({ runs }) {
    const findings = [];
    const byTask = new Map();
    for (const run of runs) {
        const earlier = byTask.get(run.task) ?? [];
        for (const other of earlier) {
            const nowMs = performance.now();
            const overlapMs = Math.min(other.endedAtMs ?? nowMs, run.endedAtMs ?? nowMs) - run.startedAtMs;
            if (overlapMs > 0) {
                findings.push(
                    `TWICE: run ${run.run} of ${run.task} was started on ${run.minion} while run ${other.run} was at work on `
                        + `${other.minion}; both were for ${Math.round(overlapMs)} ms (ends: ${run.how ?? "none"}, ${
                            other.how ?? "none"
                        })`,
                );
            }
        }
        byTask.set(run.task, [...earlier, run]);
    }
    return findings;
}
