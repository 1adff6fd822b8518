import { rankByValue, type WaitingWork } from "./rank-by-value.js";
import {
    computeOfferedShare,
    computeStartedShare,
    type GroupShare,
    observeJob,
    readMeanWork,
    type ShareMemory,
    updateOffers,
} from "./share-memory.js";
import type { SizeGroup } from "./size-groups.js";

/**
 * Part of its share of the offered work that each size group gets at least. With half of it, in the replay, groups are owed nothing
 * where their jobs start but do not end in time; with 1.5 times, fewer jobs end in time.
 */
export const floorShare = 1;
/** Expected completion, as a share of the objective, up to which a job may get the turn of its group: later ones rarely end in time. */
const latestTurn = 0.8;
/** Longest time for which a job keeps the turn of its group, in milliseconds. */
const longestTurnMs = 10_000;

/** A turn that was given to a job, with what decided. Work and credit are in core-milliseconds. */
export interface GivenTurn {
    readonly key: string;
    readonly queue: string;
    readonly group: SizeGroup;
    readonly workToStart: number;
    readonly credit: number;
    /** Shares of the group in the offered and in the started work of the queues of its priority. */
    readonly offeredShare: number;
    readonly startedShare: number;
    /** Expected completion of the job as a share of its objective. */
    readonly completion: number;
}

/** Waiting work in the order in which it gets capacity, and the turns that were given. */
export interface ShareOrder<Work extends WaitingWork> {
    readonly ordered: readonly Work[];
    readonly given: readonly GivenTurn[];
}

interface RankedWork<Work extends WaitingWork> {
    readonly work: Work;
    readonly group: GroupShare;
    readonly rank: number;
}

function canTakeTurn({ completion, workToStart }: WaitingWork): boolean {
    return completion <= latestTurn && workToStart > 0;
}

/** Gives the turn of a group to the best of its jobs if the credit covers the work of that job. */
function giveTurn(
    memory: ShareMemory,
    group: GroupShare,
    eligible: readonly RankedWork<WaitingWork>[],
    nowMs: number,
): GivenTurn | undefined {
    const next = eligible[0]?.work;
    if (group.turn !== undefined || next === undefined || group.credit < next.workToStart) {
        return undefined;
    }
    const { key, workToStart, completion } = next;
    group.turn = { key, untilMs: nowMs + longestTurnMs, workLeft: workToStart };
    return {
        key,
        queue: group.queue,
        group: group.group,
        workToStart,
        credit: group.credit,
        offeredShare: computeOfferedShare(memory, group),
        startedShare: computeStartedShare(memory, group),
        completion,
    };
}

/**
 * Orders waiting work of one priority while it is contended: the jobs with the turn of their group first, then by value. A group
 * whose best job could be in time gets a turn at the latest when `floorShare` times its share of the work that was started since its
 * last turn covers this job, after the turns of other groups. `nowMs` is in milliseconds.
 */
export function orderByShares<Work extends WaitingWork>(
    memory: ShareMemory,
    waiting: readonly Work[],
    nowMs: number,
): ShareOrder<Work> {
    updateOffers(memory, nowMs);
    const groups = waiting.map(work => observeJob(memory, work, nowMs));
    const ranked = waiting
        .map((work, index): RankedWork<Work> => ({
            work,
            group: groups[index] as GroupShare,
            rank: rankByValue(work, readMeanWork(memory, work.queue)),
        }))
        .sort((left, right) => left.rank - right.rank);
    const given: GivenTurn[] = [];
    for (const group of memory.groups.values()) {
        const eligible = ranked.filter(entry => entry.group === group && canTakeTurn(entry.work));
        group.largestWaiting = eligible.reduce((largest, { work }) => Math.max(largest, work.work), 0);
        group.credit = group.largestWaiting === 0 ? 0 : group.credit;
        // A job whose next step is not ready does not wait, but keeps its turn.
        group.turn = group.turn !== undefined && nowMs >= group.turn.untilMs ? undefined : group.turn;
        const turn = giveTurn(memory, group, eligible, nowMs);
        if (turn !== undefined) {
            given.push(turn);
        }
    }
    const hasTurn = ({ work, group }: RankedWork<Work>): boolean => group.turn?.key === work.key;
    return {
        ordered: [...ranked.filter(hasTurn), ...ranked.filter(entry => !hasTurn(entry))].map(({ work }) => work),
        given,
    };
}
