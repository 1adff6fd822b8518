import type { ClusterState, OwnershipMap } from "@chestnutspool/types";

/** The part of the state that entry hosts need to route requests. */
export function createOwnershipMap(state: ClusterState): OwnershipMap {
    const maxRunMsByService: Record<string, number> = {};
    for (const { spec, cancelled } of state.works.values()) {
        if (spec.kind === "service" && !cancelled) {
            maxRunMsByService[spec.name] = spec.maxRunMs;
        }
    }
    return {
        version: state.ownershipVersion,
        entries: [...state.entries.values()],
        minions: [...state.minions.values()],
        ownership: [...state.ownership.values()],
        maxRunMsByService,
    };
}
