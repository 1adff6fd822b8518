import type { QueueConfiguration } from "@chestnutspool/types";

/** Checks a configuration; returns a description of its first fault, undefined if it is valid. */
export function checkConfiguration(configuration: QueueConfiguration): string | undefined {
    const pools = new Set(configuration.pools.map(pool => pool.name));
    const routes = new Set<string>();
    for (const { name, hostName, path, service, timeoutMs } of configuration.queues) {
        const route = `${hostName}${path}`;
        if (!pools.has(service)) {
            return `queue "${name}" names service "${service}", which is not in the configuration`;
        }
        if (routes.has(route)) {
            return `two queues share host name "${hostName}" and path "${path}"`;
        }
        if (timeoutMs <= 0) {
            return `queue "${name}" has a timeout of ${timeoutMs} ms; it must be positive`;
        }
        routes.add(route);
    }
    if (pools.size < configuration.pools.length) {
        return "two services share a name";
    }
    return undefined;
}
