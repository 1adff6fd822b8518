import type { MinionId } from "@chestnutspool/types";

/** Ejects minions that fail repeatedly: they are not used for a limited time. */
export interface OutlierEjector {
    readonly recordSuccess: (minion: MinionId) => void;
    readonly recordFailure: (minion: MinionId, nowMs: number) => void;
    /**
     * The minions of a service that may be used: never fewer than half of them and at least one. When more are ejected,
     * those whose ejection ends first are used.
     */
    readonly filterUsable: (minions: readonly MinionId[], nowMs: number) => readonly MinionId[];
    readonly forgetMinion: (minion: MinionId) => void;
}

/** Failures in a row after which a minion is ejected. */
const failuresBeforeEjection = 3;
/** Length of the first ejection in milliseconds; it doubles with each further one. */
const firstEjectionMs = 1_000;
/** Longest ejection in milliseconds. */
const longestEjectionMs = 60_000;

interface MinionHealth {
    readonly failuresInRow: number;
    readonly ejections: number;
    readonly ejectedUntilMs: number;
}

/** Creates an ejector without ejected minions. */
export function createOutlierEjector(): OutlierEjector {
    const healthByMinion = new Map<MinionId, MinionHealth>();
    const isEjected = (minion: MinionId, nowMs: number): boolean =>
        (healthByMinion.get(minion)?.ejectedUntilMs ?? 0) > nowMs;
    const getEndMs = (minion: MinionId): number => healthByMinion.get(minion)?.ejectedUntilMs ?? 0;
    return {
        recordSuccess: minion => {
            healthByMinion.delete(minion);
        },
        recordFailure: (minion, nowMs) => {
            const health = healthByMinion.get(minion) ?? { failuresInRow: 0, ejections: 0, ejectedUntilMs: 0 };
            const failuresInRow = health.failuresInRow + 1;
            // After the first ejection a single failure is enough: the minion is on probation until it succeeds.
            const isOutlier = failuresInRow >= failuresBeforeEjection || health.ejections > 0;
            if (!isOutlier || health.ejectedUntilMs > nowMs) {
                healthByMinion.set(minion, { ...health, failuresInRow });
                return;
            }
            const lengthMs = Math.min(longestEjectionMs, firstEjectionMs * 2 ** health.ejections);
            healthByMinion.set(minion, {
                failuresInRow,
                ejections: health.ejections + 1,
                ejectedUntilMs: nowMs + lengthMs,
            });
        },
        filterUsable: (minions, nowMs) => {
            const ejected = minions.filter(minion => isEjected(minion, nowMs));
            const limit = Math.floor(minions.length / 2);
            const stillEjected = new Set(
                ejected.toSorted((left, right) => getEndMs(right) - getEndMs(left)).slice(0, limit),
            );
            return minions.filter(minion => !stillEjected.has(minion));
        },
        forgetMinion: minion => {
            healthByMinion.delete(minion);
        },
    };
}
