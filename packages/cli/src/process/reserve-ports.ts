import { Effect } from "effect";
import { randomInt } from "node:crypto";
import { createServer, type Server } from "node:net";

/**
 * Range of the reserved ports. It lies below the ports that Linux (32768 and up) and other systems (49152 and up) give to
 * listeners on port 0 and to outgoing connections, so that a process that is started again finds its port free.
 */
const portRange = { first: 16_384, end: 32_768 } as const;
const maxAttempts = 1_000;

function openServer(port: number): Promise<Server> {
    return new Promise((resolve, reject) => {
        const server = createServer();
        server.once("error", reject);
        server.listen(port, "127.0.0.1", () => resolve(server));
    });
}

async function findFreePort(servers: Map<number, Server>): Promise<void> {
    for (let attempt = 1;; attempt += 1) {
        const port = randomInt(portRange.first, portRange.end);
        try {
            servers.set(port, await openServer(port));
            return;
        }
        catch (error) {
            if (attempt === maxAttempts || (error as NodeJS.ErrnoException).code !== "EADDRINUSE") {
                throw error;
            }
        }
    }
}

/**
 * Finds free ports on loopback by binding random ports below the range from which the system itself chooses. Another program
 * may take one before it is used; the start then fails, and the caller retries it with other ports.
 */
export const reservePorts = (count: number): Effect.Effect<readonly number[]> =>
    Effect.promise(async () => {
        const servers = new Map<number, Server>();
        try {
            while (servers.size < count) {
                await findFreePort(servers);
            }
            return [...servers.keys()];
        }
        finally {
            await Promise.all([...servers.values()].map(server => new Promise(resolve => server.close(resolve))));
        }
    });
