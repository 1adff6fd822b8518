import type { Resources } from "./domain.js";

/** No resources. */
export const noResources: Resources = { milliCpu: 0, memoryMib: 0, accelerators: 0 };

/** Names of the resources, in the order in which shortages are reported. */
export const resourceNames = ["milliCpu", "memoryMib", "accelerators"] as const satisfies readonly (keyof Resources)[];

/** Sum of two amounts. */
export function addResources(left: Resources, right: Resources): Resources {
    return {
        milliCpu: left.milliCpu + right.milliCpu,
        memoryMib: left.memoryMib + right.memoryMib,
        accelerators: left.accelerators + right.accelerators,
    };
}

/** The larger of two amounts, for each resource. */
export function computeLargest(left: Resources, right: Resources): Resources {
    return {
        milliCpu: Math.max(left.milliCpu, right.milliCpu),
        memoryMib: Math.max(left.memoryMib, right.memoryMib),
        accelerators: Math.max(left.accelerators, right.accelerators),
    };
}

/** Whether two amounts are the same. */
export function isSameAmount(left: Resources, right: Resources): boolean {
    return resourceNames.every(name => left[name] === right[name]);
}

/** Difference of two amounts; may be negative. */
export function subtractResources(left: Resources, right: Resources): Resources {
    return {
        milliCpu: left.milliCpu - right.milliCpu,
        memoryMib: left.memoryMib - right.memoryMib,
        accelerators: left.accelerators - right.accelerators,
    };
}

/** The first resource of which `wanted` exceeds `available`; undefined when all fit. */
export function findShortage(wanted: Resources, available: Resources): keyof Resources | undefined {
    // Written out because the planner calls this for each worker and step.
    if (wanted.milliCpu > available.milliCpu) {
        return "milliCpu";
    }
    if (wanted.memoryMib > available.memoryMib) {
        return "memoryMib";
    }
    return wanted.accelerators > available.accelerators ? "accelerators" : undefined;
}
