import { addResources, findShortage, type Resources } from "@chestnutspool/types";
import type { Victim } from "./list-victims.js";

/** Runs to stop on one worker. */
export interface VictimChoice {
    readonly victims: readonly Victim[];
    readonly lossCoreMs: number;
}

function createChoice(victims: readonly Victim[]): VictimChoice {
    return { victims, lossCoreMs: victims.reduce((sum, { lossCoreMs }) => sum + lossCoreMs, 0) };
}

/** Drops victims without which the rest suffices, those that lose most first. */
function dropSuperfluous(victims: readonly Victim[], isEnough: (chosen: readonly Victim[]) => boolean): Victim[] {
    let kept = [...victims];
    for (const victim of [...victims].reverse()) {
        const others = kept.filter(other => other !== victim);
        if (isEnough(others)) {
            kept = others;
        }
    }
    return kept;
}

/**
 * Chooses the runs on one worker whose end leaves `needed` free, with little loss: the single run that suffices and loses
 * least, or several that lose least each. `victims` are sorted by their loss. Undefined if all of them do not suffice.
 */
export function chooseVictims(
    victims: readonly Victim[],
    free: Resources,
    needed: Resources,
): VictimChoice | undefined {
    const isEnough = (chosen: readonly Victim[]): boolean =>
        findShortage(needed, chosen.reduce((sum, { freed }) => addResources(sum, freed), free)) === undefined;
    if (isEnough([])) {
        return createChoice([]);
    }
    let freed = free;
    const several: Victim[] = [];
    for (const victim of victims) {
        if (findShortage(needed, freed) === undefined) {
            break;
        }
        freed = addResources(freed, victim.freed);
        several.push(victim);
    }
    if (findShortage(needed, freed) !== undefined) {
        return undefined;
    }
    const choices = [createChoice(dropSuperfluous(several, isEnough))];
    const single = victims.find(victim => isEnough([victim]));
    if (single !== undefined) {
        choices.push(createChoice([single]));
    }
    return choices.reduce((best, choice) => choice.lossCoreMs < best.lossCoreMs ? choice : best);
}
