import type { WorkerInfo } from "@chestnutspool/types";

/** Position of the rack in the labels of a worker. */
const rackLabel = 1;

/** Returns the rack of a worker; empty if it has no label for it. */
export function findRack({ labels }: Pick<WorkerInfo, "labels">): string {
    return labels[rackLabel] ?? "";
}
