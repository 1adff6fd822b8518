import {
    addResources,
    type ClusterState,
    noResources,
    resourceNames,
    type Resources,
    subtractResources,
    type TenantId,
} from "@chestnutspool/types";

/** Use and quota of the tenants during one pass; the use includes what the pass has planned so far. */
export interface TenantShares {
    /** Capacity of all workers. */
    readonly capacity: Resources;
    /** Part of the capacity of all workers that is not charged to any task. */
    readonly free: () => Resources;
    /** Whether the tenant stays within its quota when it uses this much more. */
    readonly isWithinQuota: (tenant: TenantId, added: Resources) => boolean;
    /** Whether the tenant uses more than its quota, without the resources that are being reclaimed already. */
    readonly isBorrowing: (tenant: TenantId) => boolean;
    /**
     * Largest share of any resource of the cluster that the tenant would borrow, divided by the weight of the tenant.
     */
    readonly computeBorrowed: (tenant: TenantId, added: Resources) => number;
    readonly addUse: (tenant: TenantId, added: Resources) => void;
    /** Counts the resources of a task that is being evicted as returned before the task has ended. */
    readonly addReclaimed: (tenant: TenantId, returned: Resources) => void;
}

function sumCapacity(state: ClusterState): Resources {
    const sum = { milliCpu: 0, memoryMib: 0, accelerators: 0 };
    for (const { capacity } of state.workers.values()) {
        sum.milliCpu += capacity.milliCpu;
        sum.memoryMib += capacity.memoryMib;
        sum.accelerators += capacity.accelerators;
    }
    return sum;
}

/** Creates the shares at the start of a pass; a tenant without a record has no quota. */
export function createTenantShares(state: ClusterState): TenantShares {
    const capacity = sumCapacity(state);
    const added = new Map<TenantId, Resources>();
    const borrowing = new Map<TenantId, boolean>();
    const reclaimed = new Map<TenantId, Resources>();
    const readUse = (tenant: TenantId): Resources =>
        addResources(state.usedByTenant.get(tenant) ?? noResources, added.get(tenant) ?? noResources);
    const readQuota = (tenant: TenantId): Resources => state.tenants.get(tenant)?.quota ?? noResources;
    let free = subtractResources(
        capacity,
        [...state.usedByTenant.values()].reduce(addResources, noResources),
    );
    return {
        capacity,
        free: () => free,
        isWithinQuota: (tenant, wanted) => {
            const use = addResources(readUse(tenant), wanted);
            const quota = readQuota(tenant);
            return resourceNames.every(name => wanted[name] === 0 || use[name] <= quota[name]);
        },
        isBorrowing: tenant => {
            const known = borrowing.get(tenant);
            if (known !== undefined) {
                return known;
            }
            const use = subtractResources(readUse(tenant), reclaimed.get(tenant) ?? noResources);
            const quota = readQuota(tenant);
            const found = resourceNames.some(name => use[name] > quota[name]);
            borrowing.set(tenant, found);
            return found;
        },
        computeBorrowed: (tenant, wanted) => {
            const over = subtractResources(addResources(readUse(tenant), wanted), readQuota(tenant));
            const shares = resourceNames.map(name => over[name] / Math.max(1, capacity[name]));
            return Math.max(0, ...shares) / Math.max(Number.MIN_VALUE, state.tenants.get(tenant)?.weight ?? 1);
        },
        addUse: (tenant, amount) => {
            free = subtractResources(free, amount);
            borrowing.delete(tenant);
            added.set(tenant, addResources(added.get(tenant) ?? noResources, amount));
        },
        addReclaimed: (tenant, amount) => {
            borrowing.delete(tenant);
            reclaimed.set(tenant, addResources(reclaimed.get(tenant) ?? noResources, amount));
        },
    };
}
