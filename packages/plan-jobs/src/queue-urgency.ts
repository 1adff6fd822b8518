import type { QueueConfiguration, QueueSettings } from "@chestnutspool/types";

/** How urgent the work of a queue is: of the highest priority in its pool, or of a lower one. */
export type Urgency = "urgent" | "deferrable";

/** Highest priority of the queues of each service. Kept because each start and report asks for it. */
const highestByConfiguration = new WeakMap<QueueConfiguration, ReadonlyMap<string, number>>();

function getHighestPriorities(configuration: QueueConfiguration): ReadonlyMap<string, number> {
    const known = highestByConfiguration.get(configuration);
    if (known !== undefined) {
        return known;
    }
    const highest = new Map<string, number>();
    for (const { service, priority } of configuration.queues) {
        highest.set(service, Math.min(priority, highest.get(service) ?? priority));
    }
    highestByConfiguration.set(configuration, highest);
    return highest;
}

/** Finds how urgent the work of a queue is. All work is urgent in a pool whose queues have the same priority. */
export function findUrgency(
    configuration: QueueConfiguration | undefined,
    { service, priority }: Pick<QueueSettings, "service" | "priority">,
): Urgency {
    const highest = configuration === undefined ? undefined : getHighestPriorities(configuration).get(service);
    return highest !== undefined && priority > highest ? "deferrable" : "urgent";
}
