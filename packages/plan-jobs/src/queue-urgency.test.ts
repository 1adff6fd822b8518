import type { QueueConfiguration, QueueSettings } from "@chestnutspool/types";
import assert from "node:assert/strict";
import { test } from "node:test";
import { findUrgency } from "./queue-urgency.js";

function createConfiguration(queues: readonly Pick<QueueSettings, "service" | "priority">[]): QueueConfiguration {
    return { queues } as unknown as QueueConfiguration;
}

// Guards against work that gives way to no other, and against urgent work that gives way to its like.
test("only queues below the highest priority of their pool are deferrable", () => {
    const urgent = { service: "shared", priority: 1 };
    const batch = { service: "shared", priority: 3 };
    const alone = { service: "alone", priority: 3 };
    const configuration = createConfiguration([urgent, batch, alone]);
    assert.deepEqual(
        [urgent, batch, alone].map(queue => findUrgency(configuration, queue)),
        ["urgent", "deferrable", "urgent"],
    );
    assert.equal(findUrgency(undefined, batch), "urgent");
});
