import { silentLogger } from "@chestnutspool/logger";
import { openWebSocketLink } from "@chestnutspool/peer-link";
import type { ChannelHandler, PeerLink } from "@chestnutspool/types";
import { Effect } from "effect";

/** Receivers over which the cost of one send is averaged. */
const receiverCount = 50;
const roundCount = 40;

interface TestMessage {
    readonly revision: number;
    readonly text: string;
}

/** Processor time that the sender spends on one message of a given size over WebSocket on loopback, in milliseconds. */
export const measureSendCost = (sizeBytes: number) =>
    Effect.scoped(Effect.gen(function*() {
        const options = { listenHost: "127.0.0.1", listenPort: 0 };
        const root = yield* openWebSocketLink({ ...options, self: "root" }, silentLogger);
        const channel = root.openChannel<TestMessage, undefined>("notice", {});
        let received = 0;
        const handler: ChannelHandler<TestMessage, undefined> = {
            handleMessage: () =>
                Effect.sync(() => {
                    received += 1;
                }),
        };
        const receivers: PeerLink[] = [];
        for (let index = 0; index < receiverCount; index += 1) {
            const receiver = yield* openWebSocketLink({ ...options, self: `receiver-${index}` }, silentLogger);
            receiver.openChannel("notice", handler);
            root.setPeer(receiver.self, receiver.address);
            receivers.push(receiver);
        }
        while (receivers.some(receiver => !root.isConnected(receiver.self))) {
            yield* Effect.sleep(5);
        }
        const text = "x".repeat(sizeBytes);
        let totalSendMs = 0;
        for (let revision = 1; revision <= roundCount; revision += 1) {
            const startedAtMs = performance.now();
            for (const receiver of receivers) {
                channel.sendMessage(receiver.self, { revision, text });
            }
            totalSendMs += performance.now() - startedAtMs;
            while (received < revision * receiverCount) {
                yield* Effect.sleep(1);
            }
        }
        return totalSendMs / (roundCount * receiverCount);
    }));
