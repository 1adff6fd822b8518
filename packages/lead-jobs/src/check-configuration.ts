import type { QueueConfiguration } from "@chestnutspool/types";

/** What is wrong with a configuration; undefined when it may be put into force. */
export function checkConfiguration(configuration: QueueConfiguration): string | undefined {
    const pools = new Set(configuration.pools.map(pool => pool.name));
    const places = new Set<string>();
    for (const { name, hostName, path, service, timeoutMs } of configuration.queues) {
        const place = `${hostName}${path}`;
        if (!pools.has(service)) {
            return `queue "${name}" names service "${service}", which is not in the configuration`;
        }
        if (places.has(place)) {
            return `two queues share host name "${hostName}" and path "${path}"`;
        }
        if (timeoutMs <= 0) {
            return `queue "${name}" has a timeout of ${timeoutMs} ms; it must be positive`;
        }
        places.add(place);
    }
    if (pools.size < configuration.pools.length) {
        return "two services share a name";
    }
    return undefined;
}
