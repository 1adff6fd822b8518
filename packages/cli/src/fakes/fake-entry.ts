import { CallerService, OperatorService } from "@chestnutspool/schema";
import type { ServiceImpl } from "@connectrpc/connect";
import { connectNodeAdapter } from "@connectrpc/connect-node";
import { createServer } from "node:http";
import type { AddressInfo } from "node:net";

/** An RPC server on loopback with the handlers of a test. */
export interface FakeEntry {
    readonly address: string;
    readonly close: () => Promise<void>;
}

/** Starts a server with the given handlers; all other calls are answered with `unimplemented`. */
export async function startFakeEntry(
    operator: Partial<ServiceImpl<typeof OperatorService>>,
    caller: Partial<ServiceImpl<typeof CallerService>> = {},
): Promise<FakeEntry> {
    const server = createServer(connectNodeAdapter({
        routes: router => {
            router.service(OperatorService, operator);
            router.service(CallerService, caller);
        },
    }));
    await new Promise<void>(resolve => server.listen(0, "127.0.0.1", resolve));
    const { port } = server.address() as AddressInfo;
    return {
        address: `127.0.0.1:${port}`,
        close: () =>
            new Promise<void>(resolve => {
                server.close(() => resolve());
                server.closeAllConnections();
            }),
    };
}
