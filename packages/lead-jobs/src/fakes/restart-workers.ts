import type { WorkerInfo } from "@chestnutspool/types";
import { Effect } from "effect";
import type { TestSystem } from "./test-system.js";

/**
 * Lets each worker that crashes start again under its id after `silentMs`, while its connections stay open, and send its first heartbeat
 * `announceMs` later; both in milliseconds.
 */
export function restartAfterCrashes(system: TestSystem, silentMs: number, announceMs: number): void {
    const restart = {
        afterMs: silentMs,
        nextInfo: (crashed: WorkerInfo, nowMs: number) => ({ ...crashed, bornAtMs: nowMs }),
        keepsConnections: true,
    };
    const announce = (worker: WorkerInfo) => Effect.andThen(Effect.sleep(announceMs), system.announce(worker));
    system.workers.setCrashingRuns(() => false, restart, announce);
}
