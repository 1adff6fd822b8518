import type { Resources, StepSpec } from "@chestnutspool/types";

/**
 * Requirements that no worker meets in one planning pass. Starts only lower what workers have left, so that a step that
 * requires at least as much finds no worker either.
 */
export interface UnmetRequirements {
    /**
     * Records that no worker is suitable for a task of a step in a queue of the service. A restricted step was compared
     * only with the workers that are not kept for short tasks.
     */
    readonly recordUnmet: (service: string, spec: StepSpec, isRestricted?: boolean) => void;
    /** Whether a step requires at least as much as one for which no worker was suitable. */
    readonly isUnmet: (service: string, spec: StepSpec, isRestricted?: boolean) => boolean;
}

function isCovered(needed: Resources, unmet: Resources): boolean {
    return needed.milliCpu >= unmet.milliCpu && needed.memoryMib >= unmet.memoryMib
        && needed.accelerators >= unmet.accelerators;
}

/** Formats what must be equal so that two steps can be compared by their resources alone. */
function formatRequirementKind(service: string, spec: StepSpec, isRestricted: boolean): string {
    // The image decides which serving tasks a best-effort task disturbs; the other ratings exclude no worker.
    return JSON.stringify([
        service,
        spec.requiredLabel ?? null,
        spec.usesIdleCpu ? spec.image ?? "" : null,
        isRestricted,
    ]);
}

/** Creates an empty record. */
export function createUnmetRequirements(): UnmetRequirements {
    const unmetByKind = new Map<string, Resources[]>();
    const isCoveredByKind = (service: string, spec: StepSpec, isRestricted: boolean): boolean =>
        unmetByKind.get(formatRequirementKind(service, spec, isRestricted))
            ?.some(unmet => isCovered(spec.resources, unmet)) ?? false;
    return {
        recordUnmet: (service, spec, isRestricted = false) => {
            // A step with a limit per worker may lack a worker only because of its own tasks.
            if (spec.perWorkerLimit !== undefined) {
                return;
            }
            const kind = formatRequirementKind(service, spec, isRestricted);
            const others = (unmetByKind.get(kind) ?? []).filter(unmet => !isCovered(unmet, spec.resources));
            unmetByKind.set(kind, [...others, spec.resources]);
        },
        isUnmet: (service, spec, isRestricted = false) =>
            isCoveredByKind(service, spec, false) || (isRestricted && isCoveredByKind(service, spec, true)),
    };
}
