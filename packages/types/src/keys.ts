import { crc32 } from "node:zlib";
import { keyShardCount, type OwnedItem, type TenantId } from "./domain.js";

/** Key of an owned item in `ClusterState.ownership`. */
export function formatItemKey(item: OwnedItem): string {
    switch (item.kind) {
        case "minion":
            return `minion:${item.minion}`;
        case "shard":
            return `shard:${item.shard}`;
    }
}

/** Key of a request in `ClusterState.requests`; the length prefix keeps tenant and id apart. */
export function formatRequestKey(tenant: TenantId, requestId: string): string {
    return `${tenant.length}:${tenant}:${requestId}`;
}

/** The key shard of a request id. */
export function computeShard(tenant: TenantId, requestId: string): number {
    return crc32(formatRequestKey(tenant, requestId)) % keyShardCount;
}
