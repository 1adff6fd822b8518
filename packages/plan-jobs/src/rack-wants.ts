import {
    computeReservation,
    findRack,
    findReadyAtMs,
    formatRunKey,
    formatStepKey,
    isJobEnded,
    isStepReady,
    type JobOccurrence,
    type JobState,
    type JobStep,
    type WorkerRun,
} from "@chestnutspool/job-state";
import {
    estimateRunMs,
    type LaterStep,
    type PlacementMemory,
    predictRunEndMs,
    type RackWorker,
    type StepWant,
    type TaskNeed,
} from "@chestnutspool/plan-placement-waits";
import { needsTrial } from "@chestnutspool/track-workers";
import type { StepSpec, WorkerId, WorkerInfo } from "@chestnutspool/types";
import type { PlanInput } from "./plan-input.js";
import { computeChainMs } from "./predict-lateness.js";
import { listStartable } from "./startable-tasks.js";
import type { WaitingStep } from "./waiting-steps.js";
import type { WorkerCandidate } from "./worker-candidate.js";

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
function hasRackPreference({ rackOfData, prefersOneRack, usesIdleCpu, longRunning }: StepSpec): boolean {
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
function listRunRacks(step: JobStep, input: PlanInput): ReadonlySet<string> {
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
        work += hasRackPreference(spec) ? tasksLeft * estimateStep(position) * milliCpu / milliCpuPerCore : 0;
    }
    return work;
}

/** A step of an occurrence. */
type StepOfJob = Pick<WaitingStep, "job" | "occurrence" | "step">;

/** Steps of an occurrence that follow a step and have their data in the same rack. */
function listLaterSteps(
    { occurrence, step }: StepOfJob,
    createNeed: (step: JobStep) => TaskNeed,
): LaterStep[] {
    const { rackOfData } = step.spec;
    return rackOfData === undefined ? [] : occurrence.steps
        .filter(({ position, tasksLeft, spec }) =>
            position > step.position && tasksLeft > 0 && spec.rackOfData === rackOfData && hasRackPreference(spec)
        )
        .map(later => ({ tasks: later.tasksLeft, isGang: later.spec.gang, need: createNeed(later) }));
}

/** Creates what `tasks` of a step want that may start at `startsAtMs`, in milliseconds since the epoch. */
function createWant(
    waiting: StepOfJob,
    tasks: number,
    startsAtMs: number,
    input: PlanInput,
    { memory }: PlacementWaits,
    { getRacks, findCandidate, predictEnd }: RackContext,
): StepWant {
    const { job, occurrence, step } = waiting;
    const { spec, position } = step;
    const estimateStep = (number: number): number =>
        estimateRunMs(memory.runTimes, {
            queue: job.queue.name,
            step: formatStepKey({ job: job.id, occurrence: occurrence.number, step: number }),
            declaredMs: job.definition.steps[number]?.expectedRunMs ?? 0,
        });
    const createNeed = (other: JobStep): TaskNeed => ({
        resources: computeReservation(other.spec),
        runMs: estimateStep(other.position),
        perWorkerLimit: other.spec.perWorkerLimit,
        canRunOn: worker =>
            other.spec.requiredLabel === undefined
            || findCandidate(worker)?.state.info.labels.includes(other.spec.requiredLabel) === true,
        listOwnEnds: worker =>
            [...findCandidate(worker)?.state.runs.values() ?? []].filter(run => run.step === other).map(predictEnd),
    });
    const runRacks = listRunRacks(step, input);
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
        tasks,
        startsAtMs,
        later: listLaterSteps(waiting, createNeed),
        racks,
        isBegun: runRacks.size === 1 && racks.length === 1 && runRacks.has(racks[0] ?? ""),
        hasRun: job.runsInProgress > 0,
        need: createNeed(step),
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

/** Lists the runs in progress of a step. */
function listRuns({ job, occurrence, step }: StepOfJob, { workers }: JobState): readonly WorkerRun[] {
    return step.tasks.flatMap(({ position, runs }) =>
        runs.flatMap(({ run, worker }) => {
            const key = { job: job.id, occurrence: occurrence.number, step: step.position, position, run };
            return workers.get(worker)?.runs.get(formatRunKey(key)) ?? [];
        })
    );
}

/**
 * Predicts when a step that is not ready can start, in milliseconds since the epoch: undefined if a task before it waits
 * itself.
 */
function predictReadyMs(next: StepOfJob, state: JobState, { predictEnd }: RackContext): number | undefined {
    const { job, occurrence, step } = next;
    const before = step.spec.dependsOn.flatMap(position => occurrence.steps[position] ?? []);
    if (before.some(({ waiting, tasksLeft, spec }) => (tasksLeft > 0 && waiting.size > 0) || spec.longRunning)) {
        return undefined;
    }
    const ends = before.flatMap(earlier => listRuns({ job, occurrence, step: earlier }, state)).map(predictEnd);
    return ends.length === 0 ? undefined : ends.reduce((latestMs, endMs) => Math.max(latestMs, endMs));
}

/** Lists what the steps want that follow runs in progress, so that their places are kept for them. */
function listNextWants(input: PlanInput, waits: PlacementWaits, context: RackContext): StepWant[] {
    const wants: StepWant[] = [];
    for (const id of waits.memory.begunJobs) {
        const job = input.state.openJobs.get(id);
        for (const occurrence of job === undefined || isJobEnded(job) ? [] : job.occurrences.values()) {
            const step = occurrence.steps.find(known => known.tasksLeft > 0 && !isStepReady(occurrence, known));
            if (job === undefined || step?.spec.rackOfData === undefined || !hasRackPreference(step.spec)) {
                continue;
            }
            const next = { job, occurrence, step };
            const startsAtMs = predictReadyMs(next, input.state, context);
            if (startsAtMs !== undefined) {
                wants.push(createWant(next, step.tasksLeft, startsAtMs, input, waits, context));
            }
        }
    }
    return wants;
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

/** Lists the steps whose tasks would rather run in one rack, and those that follow them; `nowMs` is wall-clock time. */
export function listWants(
    waitingSteps: readonly WaitingStep[],
    input: PlanInput,
    waits: PlacementWaits,
    context: RackContext,
    nowMs: number,
): StepWant[] {
    const wants = waitingSteps.flatMap(waiting => {
        const tasks = hasRackPreference(waiting.step.spec) ? listStartable(waiting) : [];
        // A task that may crash its worker chooses the worker on which it does the least harm.
        return tasks.length === 0 || tasks.some(needsTrial)
            ? []
            : createWant(waiting, tasks.length, nowMs, input, waits, context);
    });
    return [...wants, ...listNextWants(input, waits, context)];
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
