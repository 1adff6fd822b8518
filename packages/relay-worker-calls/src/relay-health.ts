/** Interval of the messages that probe each relay, in milliseconds. */
export const probeIntervalMs = 100;
/** Silence after which a relay is not used, in milliseconds; an idle relay answers a probe within a few. */
export const silenceLimitMs = 400;
/** Longest time between two probes that counts as silence, in milliseconds. */
const longestCountedMs = 150;

/** Why a relay cannot be used. */
export type RelayFault = "notConnected" | "neverAnswered" | "silent";

/** What is known of a relay. */
export interface RelayContact {
    readonly isConnected: boolean;
    /** Running time since the relay's last message, in milliseconds; undefined before the first one. */
    readonly silentMs: number | undefined;
}

/** Decides whether a relay cannot be used, and why. Undefined if it can be used. */
export function findRelayFault({ isConnected, silentMs }: RelayContact): RelayFault | undefined {
    if (!isConnected) {
        return "notConnected";
    }
    if (silentMs === undefined) {
        return "neverAnswered";
    }
    return silentMs >= silenceLimitMs ? "silent" : undefined;
}

/**
 * Advances the running time of this process, in milliseconds. A pause of the process counts as one interval only,
 * because the messages that arrived in the meantime have not been read yet.
 */
export function advanceRunningMs(runningMs: number, elapsedMs: number): number {
    return runningMs + Math.min(Math.max(0, elapsedMs), longestCountedMs);
}
