import {
    adaptRation,
    countAffordableRaises,
    createLeaderRation,
    isRationed,
    type LeaderRation,
    readStartRation,
    recordRaises,
    recordRationShortage,
    recordStarts,
    type StartRation,
    type Starts,
} from "@chestnutspool/ration-leader-time";

/** Processor time that one piece of work of the leader takes, in milliseconds of a whole processor. */
export interface LeaderPrices {
    /** A renewal of a lease with its report. */
    readonly renewalMs: number;
    /** The commit of the ends in a report. */
    readonly endsMs: number;
    /** An order to start or stop a run, with its answer. */
    readonly orderMs: number;
    /** An order to change a pace. */
    readonly paceMs: number;
    /** A pass of the planner, and what each worker and each waiting step adds to it. */
    readonly passMs: number;
    readonly passWorkerMs: number;
    readonly passStepMs: number;
    /** The search for stalled runs, for each run. */
    readonly scanRunMs: number;
}

/** What a simulated leader can do. */
export interface LeaderProcessor {
    readonly prices: LeaderPrices;
    /** Speed of the processor: 0.5 takes twice as long for everything. */
    readonly speed: number;
    /** Whether deferrable work is rationed. */
    readonly rationsTime: boolean;
}

interface LeaderWork {
    readonly priceMs: number;
    readonly perform: (nowMs: number) => void;
}

/** Time after the last pass from which the planner makes one although nothing has woken it, in milliseconds. */
const idlePauseMs = 100;
/** Least time from the end of a pass to the next one, as a multiple of its duration. */
const pauseFactor = 2;
/** The same between two passes over all tasks while deferrable work is rationed, and its bounds in milliseconds, as `lead-jobs` has them. */
const fullPassPauseFactor = 5;
const leastFullPassPauseMs = 200;
const longestFullPassPauseMs = 300;
/** Least pause between two passes over urgent tasks, in milliseconds. */
const leastUrgentPassPauseMs = 40;
/** Interval at which the busy time is sampled, in milliseconds. */
const sampleIntervalMs = 60;

/** A leader whose work takes processor time and goes in the order of its arrival. Times are in milliseconds since the start of the replay. */
export interface SimulatedLeader {
    readonly processor: LeaderProcessor;
    readonly ration: LeaderRation;
    /** Adds work that takes the price once it is its turn. */
    readonly addWork: (priceMs: number, perform: (nowMs: number) => void) => void;
    /** Lets the leader work for the `stepMs` before `nowMs`. */
    readonly advance: (nowMs: number, stepMs: number) => void;
    /** Asks for a pass of the planner as soon as the last one allows it. */
    readonly wake: () => void;
    /** Whether a pass of the planner is due. */
    readonly isPassDue: (nowMs: number) => boolean;
    /** Whether the next pass is over urgent tasks alone. */
    readonly isPassUrgent: (nowMs: number) => boolean;
    /** Adds a pass of the planner. */
    readonly addPass: (kind: "all" | "urgent", priceMs: number, perform: (nowMs: number) => void) => void;
    readonly readStartRation: (nowMs: number) => StartRation | undefined;
    readonly recordStarts: (starts: Starts) => void;
    /** Records of how many steps a pass has left out tasks because of the ration. */
    readonly recordPass: (stepsLeftOut: number, nowMs: number) => void;
    /** Takes of the raised paces those that the leader can afford. */
    readonly takeRaises: <Raise>(raises: readonly Raise[], nowMs: number) => readonly Raise[];
}

/** Creates a leader without work. */
export function createSimulatedLeader(processor: LeaderProcessor): SimulatedLeader {
    const ration = createLeaderRation();
    let queue: LeaderWork[] = [];
    /** Time that the leader still needs for work that it has begun. */
    let owedMs = 0;
    let busyMs = 0;
    let sampledAtMs = 0;
    let isWoken = false;
    let isPassQueued = false;
    let passEndedAtMs = 0;
    let passPauseMs = 0;
    let fullPassEndedAtMs = Number.NEGATIVE_INFINITY;
    let fullPassMs = 0;
    const sample = (nowMs: number): void => {
        if (processor.rationsTime && nowMs - sampledAtMs >= sampleIntervalMs) {
            adaptRation(ration, busyMs, nowMs);
            busyMs = 0;
            sampledAtMs = nowMs;
        }
    };
    return {
        processor,
        ration,
        addWork: (priceMs, perform) => {
            queue.push({ priceMs, perform });
        },
        advance: (nowMs, stepMs) => {
            let leftMs = stepMs - owedMs;
            let done = 0;
            for (; done < queue.length && leftMs > 0; done += 1) {
                const work = queue[done] as LeaderWork;
                leftMs -= work.priceMs / processor.speed;
                work.perform(nowMs);
            }
            queue = queue.slice(done);
            owedMs = Math.max(0, -leftMs);
            busyMs += stepMs - Math.max(0, leftMs);
            sample(nowMs);
        },
        wake: () => {
            isWoken = true;
        },
        isPassDue: nowMs => {
            const sinceMs = nowMs - passEndedAtMs;
            return !isPassQueued && sinceMs >= passPauseMs && (isWoken || sinceMs >= idlePauseMs);
        },
        isPassUrgent: nowMs =>
            isRationed(ration)
            && nowMs - fullPassEndedAtMs
                < Math.max(leastFullPassPauseMs, Math.min(longestFullPassPauseMs, fullPassMs * fullPassPauseFactor)),
        addPass: (kind, priceMs, perform) => {
            isPassQueued = true;
            isWoken = false;
            queue.push({
                priceMs,
                perform: nowMs => {
                    const tookMs = priceMs / processor.speed;
                    perform(nowMs);
                    isPassQueued = false;
                    passEndedAtMs = nowMs;
                    if (kind === "all") {
                        fullPassEndedAtMs = nowMs;
                        fullPassMs = tookMs;
                    }
                    passPauseMs = !isRationed(ration)
                        ? tookMs * pauseFactor
                        : kind === "urgent"
                        ? Math.max(leastUrgentPassPauseMs, tookMs * pauseFactor)
                        : leastUrgentPassPauseMs;
                },
            });
        },
        readStartRation: nowMs => readStartRation(ration, nowMs),
        recordStarts: starts => recordStarts(ration, starts),
        recordPass: (stepsLeftOut, nowMs) => {
            if (stepsLeftOut > 0) {
                recordRationShortage(ration, nowMs);
            }
        },
        takeRaises: (raises, nowMs) => {
            if (!isRationed(ration)) {
                return raises;
            }
            const taken = raises.slice(0, countAffordableRaises(ration, nowMs));
            recordRaises(ration, taken.length);
            return taken;
        },
    };
}
