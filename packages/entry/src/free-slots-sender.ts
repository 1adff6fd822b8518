import type { Channel, EntryReply, EntryRequest } from "@chestnutspool/types";
import { Effect } from "effect";
import type { EntryContext } from "./entry-context.js";
import { resendIntervals } from "./free-slots.js";
import type { OwnedItems } from "./owned-items.js";
import type { OwnershipView } from "./ownership-view.js";
import type { SlotAllocator } from "./slot-allocator.js";

/** Advertises the free slots of this host to the other entry hosts. */
export interface FreeSlotsSender {
    /** Sends at once when the number of free slots of a service has changed from or to zero. */
    readonly sendOnChange: (service: string) => void;
    /** Sends at each interval when a number has changed, and otherwise every `resendIntervals` intervals. */
    readonly keepSending: Effect.Effect<never>;
}

/** Creates the sender. */
export function createFreeSlotsSender(
    context: EntryContext,
    view: OwnershipView,
    items: OwnedItems,
    allocator: SlotAllocator,
    channel: Channel<EntryRequest, EntryReply>,
): FreeSlotsSender {
    const { freeSlotsIntervalMs } = context.settings.requests;
    const sent = new Map<string, number>();
    let sentAtMs = Number.NEGATIVE_INFINITY;
    const countFree = (): Readonly<Record<string, number>> => {
        const services = new Set([...items.listServices(), ...sent.keys()]);
        return Object.fromEntries([...services].map(service => [service, allocator.countFree(service)]));
    };
    const sendAll = (freeByService: Readonly<Record<string, number>>): void => {
        sentAtMs = context.readNowMs();
        sent.clear();
        for (const [service, free] of Object.entries(freeByService)) {
            sent.set(service, free);
        }
        for (const { entry } of view.listEntries()) {
            if (entry !== context.self) {
                channel.sendMessage(entry, { kind: "freeSlots", freeByService });
            }
        }
    };
    const sendWhenDue = (): void => {
        const freeByService = countFree();
        const isChanged = Object.entries(freeByService).some(([service, free]) => sent.get(service) !== free);
        if (isChanged || context.readNowMs() - sentAtMs >= freeSlotsIntervalMs * resendIntervals) {
            sendAll(freeByService);
        }
    };
    return {
        sendOnChange: service => {
            if ((allocator.countFree(service) > 0) !== ((sent.get(service) ?? 0) > 0)) {
                sendAll(countFree());
            }
        },
        keepSending: Effect.forever(Effect.andThen(
            Effect.sync(sendWhenDue),
            Effect.sleep(freeSlotsIntervalMs),
        )),
    };
}
