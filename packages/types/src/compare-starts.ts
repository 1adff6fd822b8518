import type { WorkerInfo } from "./jobs.js";

/** How one start of a worker compares with another one under the same id. */
export type StartComparison = "earlier" | "same" | "later";

/** Compares two starts of a worker; they count as the same unless both are known. */
export function compareStarts(
    { bornAtMs }: Pick<WorkerInfo, "bornAtMs">,
    other: Pick<WorkerInfo, "bornAtMs">,
): StartComparison {
    if (bornAtMs === undefined || other.bornAtMs === undefined || bornAtMs === other.bornAtMs) {
        return "same";
    }
    return bornAtMs < other.bornAtMs ? "earlier" : "later";
}
