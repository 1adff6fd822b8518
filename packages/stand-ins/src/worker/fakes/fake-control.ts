import type { MessageInitShape } from "@bufbuild/protobuf";
import { type SyncRequest, type SyncResponseSchema, WorkerService } from "@chestnutspool/schema";
import { connectNodeAdapter } from "@connectrpc/connect-node";
import { Effect } from "effect";
import { createServer } from "node:http";
import type { AddressInfo } from "node:net";

/** Opens an RPC server on loopback that answers each Sync call with `respond`; the result is its address. */
export const openFakeControl = (
    respond: (request: SyncRequest) => Promise<MessageInitShape<typeof SyncResponseSchema>>,
) => Effect.acquireRelease(
    Effect.callback<{ readonly address: string; readonly close: () => void; }>(resume => {
        const server = createServer(connectNodeAdapter({
            routes: router => {
                router.service(WorkerService, { sync: respond });
            },
        }));
        server.listen(0, "127.0.0.1", () => {
            const close = (): void => {
                server.close();
                server.closeAllConnections();
            };
            resume(Effect.succeed({ address: `127.0.0.1:${(server.address() as AddressInfo).port}`, close }));
        });
    }),
    ({ close }) => Effect.sync(close),
);
