import { create, toBinary, toJsonString } from "@bufbuild/protobuf";
import { AnnounceRequestSchema, SyncRequestSchema, SyncResponseSchema } from "@chestnutspool/schema";

const taskCounts = [0, 3, 13, 50];
const syncIntervalSeconds = 3;
/** Approximate size of the headers of a request and its answer in the Connect protocol, in bytes. */
const headerBytes = 500;

function createSync(tasks: number) {
    const ids = Array.from(
        { length: tasks },
        (unused, index) => ({ task: `price-list-rebuild/${index}`, token: BigInt(1_000_000 + index) }),
    );
    const amounts = { milliCpu: 1_200, memoryMib: 4_096, accelerators: 1 };
    return create(SyncRequestSchema, {
        worker: "worker-0123",
        incarnation: "0b7f3c1e-6f5d-4f57-9d0e-2f1f0a7a1a11",
        availabilityZone: "zone-1",
        rack: "rack-17",
        capacity: { milliCpu: 32_000, memoryMib: 128_000, accelerators: 2 },
        running: ids.map(id => ({ ...id, checkpoint: "checkpoint-000123" })),
        usage: ids.map(id => ({ ...id, ageMs: 1_500, used: amounts, speedPercent: 93 })),
    });
}

/** Prints the size of the messages that a worker and a minion exchange with the system. */
export function measureMessageSizes(): void {
    const response = create(SyncResponseSchema, { leaseMs: 10_000 });
    console.log("| message | binary bytes | JSON bytes | binary bytes/s with headers |");
    console.log("|---|---|---|---|");
    for (const tasks of taskCounts) {
        const sync = createSync(tasks);
        const binary = toBinary(SyncRequestSchema, sync).length;
        const perSecond = (binary + toBinary(SyncResponseSchema, response).length + headerBytes) / syncIntervalSeconds;
        console.log(
            `| sync of ${tasks} tasks | ${binary} | ${toJsonString(SyncRequestSchema, sync).length} | ${
                perSecond.toFixed(0)
            } |`,
        );
    }
    const announcement = create(AnnounceRequestSchema, {
        minion: "stock-check-1",
        service: "stock-check",
        address: "127.0.0.1:40000",
        availabilityZone: "zone-1",
        slots: 8,
        connections: 64,
        runningAttempts: Array.from({ length: 8 }, (unused, index) => `entry-1.0b7f3c1e.${index}`),
        incarnation: "0b7f3c1e-6f5d-4f57-9d0e-2f1f0a7a1a11",
    });
    const size = toBinary(AnnounceRequestSchema, announcement).length;
    console.log(
        `| announcement with 8 attempts | ${size} | ${toJsonString(AnnounceRequestSchema, announcement).length} | ${
            size + headerBytes
        } |`,
    );
}
