import type { Resources, StepSpec } from "@chestnutspool/types";

/**
 * Workers that a step is compared with: all, all but the kept ones without room to spare, or all but the kept ones. Each
 * choice has no worker that the ones before it lack.
 */
export type WorkerChoice = "all" | "spare" | "notKept";

const workerChoices: readonly WorkerChoice[] = ["all", "spare", "notKept"];

/**
 * Requirements that no worker meets in one planning pass. Starts only lower what workers have left, so that a step that
 * requires at least as much finds no worker either.
 */
export interface UnmetRequirements {
    /** Records that no worker of a choice is suitable for a task of a step in a queue of the service. */
    readonly recordUnmet: (service: string, spec: StepSpec, choice?: WorkerChoice) => void;
    /** Whether a step requires at least as much as one for which no worker was suitable. */
    readonly isUnmet: (service: string, spec: StepSpec, choice?: WorkerChoice) => boolean;
}

function isCovered(needed: Resources, unmet: Resources): boolean {
    return needed.milliCpu >= unmet.milliCpu && needed.memoryMib >= unmet.memoryMib
        && needed.accelerators >= unmet.accelerators;
}

/** Formats what must be equal so that two steps can be compared by their resources alone. */
function formatRequirementKind(
    service: string,
    spec: StepSpec,
    choice: WorkerChoice,
    longRunning: boolean,
): string {
    // The image decides which serving tasks a best-effort task disturbs; the other ratings exclude no worker.
    return JSON.stringify([
        service,
        spec.requiredLabel ?? null,
        spec.usesIdleCpu ? spec.image ?? "" : null,
        choice,
        longRunning,
    ]);
}

/** Creates an empty record. */
export function createUnmetRequirements(): UnmetRequirements {
    const unmetByKind = new Map<string, Resources[]>();
    const isCoveredByKind = (service: string, spec: StepSpec, choice: WorkerChoice, longRunning: boolean): boolean =>
        unmetByKind.get(formatRequirementKind(service, spec, choice, longRunning))
            ?.some(unmet => isCovered(spec.resources, unmet)) ?? false;
    return {
        recordUnmet: (service, spec, choice = "all") => {
            // A step with a limit per worker may lack a worker only because of its own tasks.
            if (spec.perWorkerLimit !== undefined) {
                return;
            }
            const kind = formatRequirementKind(service, spec, choice, spec.longRunning);
            const others = (unmetByKind.get(kind) ?? []).filter(unmet => !isCovered(unmet, spec.resources));
            unmetByKind.set(kind, [...others, spec.resources]);
        },
        isUnmet: (service, spec, choice = "all") =>
            workerChoices.slice(0, workerChoices.indexOf(choice) + 1)
                .some(wider =>
                    isCoveredByKind(service, spec, wider, true)
                    // A worker that is held for long-running tasks is one that only others lack.
                    || (!spec.longRunning && isCoveredByKind(service, spec, wider, false))
                ),
    };
}
