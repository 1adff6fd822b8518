import type { RequestClass, TenantId } from "@chestnutspool/types";

/** A request that waits for a slot. */
export interface QueuedRequest {
    /** Unique among the queued requests of this host. */
    readonly id: string;
    readonly service: string;
    readonly class: RequestClass;
    readonly tenant: TenantId;
    readonly shard: number;
    readonly deadlineAtMs: number;
    /** Minions to which this request must not be sent again. */
    readonly excludedMinions: ReadonlySet<string>;
}

/** Waiting requests of one host: bounded, ordered by class and then round robin among tenants. */
export interface RequestQueue<Item extends QueuedRequest> {
    /** Adds a request and returns the one to reject when the bound is exceeded; it may be the added one. */
    readonly addRequest: (item: Item) => Item | undefined;
    /** Takes the first request of a service that satisfies the condition. */
    readonly takeNext: (service: string, condition: (item: Item) => boolean) => Item | undefined;
    readonly removeRequest: (id: string) => Item | undefined;
    /** Removes and returns all requests that satisfy the condition. */
    readonly takeAll: (condition: (item: Item) => boolean) => readonly Item[];
    /** Number of requests that a new one of this service and class has to wait for. */
    readonly countAhead: (service: string, requestClass: RequestClass) => number;
    readonly countRequests: () => number;
    readonly listServices: () => readonly string[];
    readonly hasShard: (shard: number) => boolean;
}

/** Waiting requests of one service and class. */
interface ClassQueue<Item> {
    readonly service: string;
    readonly class: RequestClass;
    /** Tenants in round-robin order; the first is next. */
    readonly tenants: Map<TenantId, Item[]>;
}

const classesByPriority: readonly RequestClass[] = ["urgent", "standard"];

/** Creates an empty queue for at most `limit` requests. */
export function createRequestQueue<Item extends QueuedRequest>(limit: number): RequestQueue<Item> {
    const classQueues = new Map<string, ClassQueue<Item>>();
    const items = new Map<string, Item>();

    const getClassQueue = (service: string, requestClass: RequestClass): ClassQueue<Item> => {
        const key = `${requestClass}:${service}`;
        const classQueue = classQueues.get(key)
            ?? { service, class: requestClass, tenants: new Map<TenantId, Item[]>() };
        classQueues.set(key, classQueue);
        return classQueue;
    };

    const removeItem = (item: Item): void => {
        items.delete(item.id);
        const classQueue = getClassQueue(item.service, item.class);
        const waiting = classQueue.tenants.get(item.tenant)?.filter(other => other.id !== item.id) ?? [];
        if (waiting.length > 0) {
            classQueue.tenants.set(item.tenant, waiting);
        }
        else {
            classQueue.tenants.delete(item.tenant);
        }
        if (classQueue.tenants.size === 0) {
            classQueues.delete(`${item.class}:${item.service}`);
        }
    };

    /** The newest request of the tenant with the most queued requests in the lowest class that has any. */
    const findRequestToShed = (): Item | undefined => {
        const lowest = classesByPriority.findLast(name => [...items.values()].some(item => item.class === name));
        const countByTenant = new Map<TenantId, number>();
        for (const item of items.values()) {
            if (item.class === lowest) {
                countByTenant.set(item.tenant, (countByTenant.get(item.tenant) ?? 0) + 1);
            }
        }
        const most = Math.max(...countByTenant.values());
        return [...items.values()].findLast(item => item.class === lowest && countByTenant.get(item.tenant) === most);
    };

    const takeFromClassQueue = (classQueue: ClassQueue<Item>, condition: (item: Item) => boolean): Item | undefined => {
        for (const [tenant, waiting] of classQueue.tenants) {
            const item = waiting.find(condition);
            if (item !== undefined) {
                removeItem(item);
                const rest = classQueue.tenants.get(tenant);
                if (rest !== undefined) {
                    // Deleting and setting again moves the tenant to the end of the order.
                    classQueue.tenants.delete(tenant);
                    classQueue.tenants.set(tenant, rest);
                }
                return item;
            }
        }
        return undefined;
    };

    return {
        addRequest: item => {
            items.set(item.id, item);
            const classQueue = getClassQueue(item.service, item.class);
            const waiting = classQueue.tenants.get(item.tenant);
            if (waiting === undefined) {
                classQueue.tenants.set(item.tenant, [item]);
            }
            else {
                waiting.push(item);
            }
            if (items.size <= limit) {
                return undefined;
            }
            const victim = findRequestToShed();
            if (victim !== undefined) {
                removeItem(victim);
            }
            return victim;
        },
        takeNext: (service, condition) => {
            for (const requestClass of classesByPriority) {
                const classQueue = classQueues.get(`${requestClass}:${service}`);
                const item = classQueue === undefined ? undefined : takeFromClassQueue(classQueue, condition);
                if (item !== undefined) {
                    return item;
                }
            }
            return undefined;
        },
        removeRequest: id => {
            const item = items.get(id);
            if (item !== undefined) {
                removeItem(item);
            }
            return item;
        },
        takeAll: condition => {
            const taken = [...items.values()].filter(condition);
            for (const item of taken) {
                removeItem(item);
            }
            return taken;
        },
        countAhead: (service, requestClass) => {
            const relevant = classesByPriority.slice(0, classesByPriority.indexOf(requestClass) + 1);
            return [...items.values()].filter(item => item.service === service && relevant.includes(item.class)).length;
        },
        countRequests: () => items.size,
        listServices: () => [...new Set([...classQueues.values()].map(classQueue => classQueue.service))],
        hasShard: shard => [...items.values()].some(item => item.shard === shard),
    };
}
