import {
    computeReservation,
    findReadyAtMs,
    formatStepKey,
    type JobOccurrence,
    type JobState,
    type WorkerRun,
} from "@chestnutspool/job-state";
import {
    estimateRunMs,
    type PlacementMemory,
    predictRunEndMs,
    type RackWorker,
    type StepWant,
} from "@chestnutspool/plan-placement-waits";
import { needsTrial } from "@chestnutspool/track-workers";
import type { StepSpec, WorkerId, WorkerInfo } from "@chestnutspool/types";
import type { PlanInput } from "./plan-starts.js";
import { computeChainMs } from "./predict-lateness.js";
import { listStartable } from "./startable-tasks.js";
import type { WaitingStep } from "./waiting-steps.js";
import { findRack, type WorkerCandidate } from "./worker-candidate.js";

/** What lets tasks wait for the rack that they prefer. */
export interface PlacementWaits {
    /** How many times longer a task runs outside of that rack; above 1. */
    readonly farFactor: number;
    readonly memory: PlacementMemory;
}

/** Workers and expected ends of runs that the steps of one pass are compared with. */
export interface RackContext {
    readonly getRacks: (service: string) => CandidatesByRack;
    readonly findCandidate: (worker: WorkerId) => WorkerCandidate | undefined;
    /** Expected end of a run, in milliseconds since the epoch. */
    readonly predictEnd: (run: WorkerRun) => number;
}

/** Racks with the most free processors that are compared for a step that prefers any one rack. */
const racksCompared = 4;

/** Workers of a service by rack. */
export type CandidatesByRack = ReadonlyMap<string, readonly WorkerCandidate[]>;

/** Text form of the step that waits. */
export function formatWaitingKey({ job, occurrence, step }: Pick<WaitingStep, "job" | "occurrence" | "step">): string {
    return formatStepKey({ job: job.id, occurrence: occurrence.number, step: step.position });
}

/** Whether tasks of a step run longer outside of a rack and end by themselves, so that a wait can be predicted. */
function wantsRack({ rackOfData, prefersOneRack, usesIdleCpu, longRunning }: StepSpec): boolean {
    return (rackOfData !== undefined || prefersOneRack) && !usesIdleCpu && !longRunning;
}

function groupByRack(candidates: readonly WorkerCandidate[]): CandidatesByRack {
    const byRack = new Map<string, WorkerCandidate[]>();
    for (const candidate of candidates) {
        const rack = findRack(candidate.state.info);
        const ofRack = byRack.get(rack) ?? [];
        ofRack.push(candidate);
        byRack.set(rack, ofRack);
    }
    return byRack;
}

/**
 * Whether a run on a worker is outside of the rack that its step prefers: that of its data, or the one of the other runs
 * of the step.
 */
export function isOutsideRack({ step }: WorkerRun, { workers }: JobState, worker: WorkerInfo): boolean {
    const rack = findRack(worker);
    const { rackOfData, prefersOneRack } = step.spec;
    if (rackOfData !== undefined) {
        return rackOfData !== rack;
    }
    return prefersOneRack && step.tasks.some(({ runs }) =>
        runs.some(run => {
            const info = workers.get(run.worker)?.info;
            return info !== undefined && findRack(info) !== rack;
        })
    );
}

function predictEndMs(run: WorkerRun, input: PlanInput, { farFactor, memory }: PlacementWaits, nowMs: number): number {
    const { job, step, task } = run;
    const worker = task.runs.find(known => known.run === run.run)?.worker;
    const info = worker === undefined ? undefined : input.state.workers.get(worker)?.info;
    const isFar = info !== undefined && isOutsideRack(run, input.state, info);
    const key = formatWaitingKey(run);
    const usualMs = estimateRunMs(memory.runTimes, {
        queue: job.queue.name,
        step: key,
        declaredMs: step.spec.expectedRunMs,
    });
    const status = worker === undefined
        ? undefined
        : input.findRunStatuses(worker)?.get(`${key}.${task.position}#${run.run}`);
    const reading = status === undefined || task.checkpoint !== ""
        ? undefined
        : { ageMs: status.readAtMs - status.orderedAtMs, progress: status.progressPercent / 100 };
    return predictRunEndMs(usualMs * (isFar ? farFactor : 1), Math.max(0, nowMs - run.startedAtMs), reading, nowMs);
}

function createRackWorker(candidate: WorkerCandidate, predictEnd: (run: WorkerRun) => number): RackWorker {
    const ends: RackWorker["ends"][number][] = [];
    for (const run of candidate.state.runs.values()) {
        if (!run.step.spec.longRunning) {
            ends.push({ atMs: predictEnd(run), resources: computeReservation(run.step.spec) });
        }
    }
    return { id: candidate.state.info.id, free: candidate.free, ends };
}

/** Racks in which runs of a step are, or were placed by earlier passes. */
function listRunRacks({ step }: WaitingStep, input: PlanInput): ReadonlySet<string> {
    const racks = new Set<string>();
    for (const { runs } of step.tasks) {
        for (const { worker } of runs) {
            const info = input.state.workers.get(worker)?.info;
            if (info !== undefined) {
                racks.add(findRack(info));
            }
        }
    }
    return racks;
}

function listRacks(spec: StepSpec, runRacks: ReadonlySet<string>, byRack: CandidatesByRack): readonly string[] {
    if (spec.rackOfData !== undefined) {
        return [spec.rackOfData];
    }
    if (runRacks.size > 0) {
        // Tasks in two racks are slow already, so that none waits for a third.
        return runRacks.size > 1 ? [] : [...runRacks];
    }
    return [...byRack]
        .map(([rack, candidates]) => ({
            rack,
            freeMilliCpu: candidates.reduce((sum, { free }) => sum + free.milliCpu, 0),
        }))
        .sort((left, right) => right.freeMilliCpu - left.freeMilliCpu)
        .slice(0, racksCompared)
        .map(({ rack }) => rack);
}

const milliCpuPerCore = 1_000;

/** Sums the work of the tasks that would rather run in one rack and are not done, in core-milliseconds. */
function sumWorkLeft({ steps }: JobOccurrence, estimateStep: (step: number) => number): number {
    let work = 0;
    for (const { spec, position, tasksLeft } of steps) {
        const { milliCpu } = spec.resources;
        work += wantsRack(spec) ? tasksLeft * estimateStep(position) * milliCpu / milliCpuPerCore : 0;
    }
    return work;
}

/** What a step wants, if its tasks would rather run in one rack and none of them is to be tried out on a worker of its own. */
function createWant(
    waiting: WaitingStep,
    input: PlanInput,
    { memory }: PlacementWaits,
    { getRacks, findCandidate, predictEnd }: RackContext,
): StepWant | undefined {
    const { job, occurrence, step } = waiting;
    const { spec, position } = step;
    const tasks = listStartable(waiting);
    // A task that may crash its worker chooses the worker on which it does the least harm.
    if (!wantsRack(spec) || tasks.length === 0 || tasks.some(needsTrial)) {
        return undefined;
    }
    const estimateStep = (number: number): number =>
        estimateRunMs(memory.runTimes, {
            queue: job.queue.name,
            step: formatStepKey({ job: job.id, occurrence: occurrence.number, step: number }),
            declaredMs: job.definition.steps[number]?.expectedRunMs ?? 0,
        });
    const runRacks = listRunRacks(waiting, input);
    const racks = listRacks(spec, runRacks, getRacks(job.queue.service));
    const objectiveMs = computeChainMs(job, () => true, estimateStep) * job.queue.slackFactor
        + job.queue.targetLatencyMs;
    return {
        key: formatWaitingKey(waiting),
        job: job.id,
        queue: job.queue.name,
        service: job.queue.service,
        priority: job.queue.priority,
        spec,
        tasks: tasks.length,
        racks,
        isBegun: runRacks.size === 1 && racks.length === 1 && runRacks.has(racks[0] ?? ""),
        need: {
            resources: computeReservation(spec),
            runMs: estimateStep(position),
            perWorkerLimit: spec.perWorkerLimit,
            canRunOn: worker =>
                spec.requiredLabel === undefined
                || findCandidate(worker)?.state.info.labels.includes(spec.requiredLabel) === true,
            listOwnEnds: worker =>
                [...findCandidate(worker)?.state.runs.values() ?? []].filter(run => run.step === step).map(predictEnd),
        },
        readyAtMs: findReadyAtMs(job, occurrence, step),
        objectiveAtMs: (occurrence.dueAtMs ?? job.acceptedAtMs) + objectiveMs,
        laterMs: computeChainMs(
            job,
            number => number > position && (occurrence.steps[number]?.tasksLeft ?? 0) > 0,
            estimateStep,
        ),
        workLeft: sumWorkLeft(occurrence, estimateStep),
    };
}

/** Creates the context of one pass at `nowMs`, wall-clock time in milliseconds. */
export function createRackContext(
    input: PlanInput,
    waits: PlacementWaits,
    candidatesByService: ReadonlyMap<string, readonly WorkerCandidate[]>,
    nowMs: number,
): RackContext {
    const racksByService = new Map<string, CandidatesByRack>();
    const endsByRun = new Map<WorkerRun, number>();
    const candidates = new Map(
        [...candidatesByService.values()].flat().map(candidate => [candidate.state.info.id, candidate]),
    );
    return {
        getRacks: service => {
            const known = racksByService.get(service) ?? groupByRack(candidatesByService.get(service) ?? []);
            racksByService.set(service, known);
            return known;
        },
        findCandidate: worker => candidates.get(worker),
        predictEnd: run => {
            const known = endsByRun.get(run) ?? predictEndMs(run, input, waits, nowMs);
            endsByRun.set(run, known);
            return known;
        },
    };
}

/** Lists the steps whose tasks would rather run in one rack. */
export function listWants(
    waitingSteps: readonly WaitingStep[],
    input: PlanInput,
    waits: PlacementWaits,
    context: RackContext,
): StepWant[] {
    return waitingSteps.flatMap(waiting => createWant(waiting, input, waits, context) ?? []);
}

/** Lists the workers of a rack on which tasks may start, with what is expected to become free there. */
export function listRackWorkers(
    { getRacks, predictEnd }: RackContext,
    service: string,
    rack: string,
): readonly RackWorker[] {
    return (getRacks(service).get(rack) ?? [])
        .filter(({ startsLeft, isOnTrial }) => startsLeft !== 0 && !isOnTrial)
        .map(candidate => createRackWorker(candidate, predictEnd));
}
