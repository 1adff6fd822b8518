import type { RunStart } from "@chestnutspool/types";

/** Makes the first run of a task in the first step of a job. */
export function makeRunStart(job: string, position: number, worker: string): RunStart {
    return { job, occurrence: 0, step: 0, position, run: 1, worker };
}
