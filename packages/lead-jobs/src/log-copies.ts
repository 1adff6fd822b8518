import { formatRunKey, formatTaskKey } from "@chestnutspool/job-state";
import { type CopyOutcome, followStartedCopies, takeCopyOutcomes } from "@chestnutspool/plan-copies";
import type { RunStart } from "@chestnutspool/types";
import type { Term } from "./term.js";

/** Follows and logs the copies of slow tasks among starts that were recorded; `nowMs` is monotonic time in milliseconds. */
export function logCopies(term: Term, starts: readonly RunStart[], nowMs: number): void {
    const findRun = (start: RunStart) => term.machine.state.workers.get(start.worker)?.runs.get(formatRunKey(start));
    for (const { taskCopy, estimate } of followStartedCopies(term.copies, findRun, starts, nowMs)) {
        const { job, key, firstRun, copy } = taskCopy;
        term.metrics.countEvent("copies.ordered", job.queue.name, job.queue.service);
        term.logger.info("copy of a slow task is ordered", {
            job: job.id,
            task: formatTaskKey(key),
            queue: job.queue.name,
            firstRun: firstRun.run,
            firstWorker: firstRun.worker,
            run: copy.run,
            worker: copy.worker,
            ...estimate,
        });
    }
}

/** Name of the counter for an outcome. */
function formatOutcomeName({ endedFirst, isDone }: CopyOutcome): string {
    return isDone ? `copies.${endedFirst}` : "copies.notDone";
}

/** Logs what came of the copies whose runs have both ended; `nowMs` is monotonic time in milliseconds. */
export function logCopyOutcomes(term: Term, nowMs: number): void {
    for (const outcome of takeCopyOutcomes(term.copies, nowMs)) {
        const { taskCopy: { job, key, firstRun, copy }, endedFirst, isDone, firstRunCoreMs, copyCoreMs } = outcome;
        const { name, service } = job.queue;
        term.metrics.countEvent(formatOutcomeName(outcome), name, service);
        term.metrics.countEvent("copies.coreMs", name, service, copyCoreMs);
        term.logger.info("copy of a slow task has ended", {
            job: job.id,
            task: formatTaskKey(key),
            queue: name,
            firstRun: firstRun.run,
            firstWorker: firstRun.worker,
            run: copy.run,
            worker: copy.worker,
            endedFirst,
            isDone,
            firstRunCoreMs,
            copyCoreMs,
        });
    }
}
