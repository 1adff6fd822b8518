import type { Channel, EntryReply, EntryRequest } from "@chestnutspool/types";
import { Effect } from "effect";
import type { EntryContext } from "./entry-context.js";
import type { OwnedItems } from "./owned-items.js";
import type { OwnershipView } from "./ownership-view.js";
import type { SlotDesk } from "./slot-desk.js";

/** Tells the other entry hosts how many slots are free here. */
export interface FreeSlotsSender {
    /** Sends at once when the number of free slots of a service has changed from or to zero. */
    readonly sendOnChange: (service: string) => void;
    /** Sends at each interval. */
    readonly keepSending: Effect.Effect<never>;
}

/** Creates the sender. */
export function createFreeSlotsSender(
    context: EntryContext,
    view: OwnershipView,
    items: OwnedItems,
    desk: SlotDesk,
    channel: Channel<EntryRequest, EntryReply>,
): FreeSlotsSender {
    const sent = new Map<string, number>();
    const sendAll = (): void => {
        const services = new Set([...items.listServices(), ...sent.keys()]);
        const freeByService = Object.fromEntries([...services].map(service => [service, desk.countFree(service)]));
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
    return {
        sendOnChange: service => {
            if ((desk.countFree(service) > 0) !== ((sent.get(service) ?? 0) > 0)) {
                sendAll();
            }
        },
        keepSending: Effect.forever(Effect.andThen(
            Effect.sync(sendAll),
            Effect.sleep(context.settings.requests.freeSlotsIntervalMs),
        )),
    };
}
