import { Effect } from "effect";
import { type AddressInfo, createServer, type Server } from "node:net";

function openServer(): Promise<Server> {
    return new Promise((resolve, reject) => {
        const server = createServer();
        server.once("error", reject);
        server.listen(0, "127.0.0.1", () => resolve(server));
    });
}

/**
 * Finds free ports on loopback by binding port 0 for all of them at once. Another program may take one before it is used;
 * the start then fails, and the caller retries it with other ports.
 */
export const reservePorts = (count: number): Effect.Effect<readonly number[]> =>
    Effect.promise(async () => {
        const servers = await Promise.all(Array.from({ length: count }, openServer));
        const ports = servers.map(server => (server.address() as AddressInfo).port);
        await Promise.all(servers.map(server => new Promise(resolve => server.close(resolve))));
        return ports;
    });
