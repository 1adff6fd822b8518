import {
    listOverlaps,
    listRequestSpans,
    type LoadOutcome,
    type LoadRequest,
    makeRequests,
    runConcurrently,
    sendLoadRequest,
} from "@chestnutspool/cli/fakes";
import { buildAnswer } from "@chestnutspool/stand-ins";
import { setTimeout as sleep } from "node:timers/promises";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";
import { measuredService, type MeasuredSystem, startMeasuredSystem } from "../../support/start-system.js";
import { injectFaults } from "./inject-faults.js";

const entryCount = 4;
const minionCount = 6;
const concurrentRequests = 12;
const pauseBetweenRequestsMs = 40;
const maxSends = 20;
const resendPauseMs = 500;

/** Outcomes of one request over all its sends. */
interface RequestHistory {
    readonly request: LoadRequest;
    readonly outcomes: readonly LoadOutcome[];
}

/** Sends a request with one id through the entry hosts in turn until it is answered or `maxSends` is reached. */
async function sendUntilAnswered(system: MeasuredSystem, request: LoadRequest, index: number): Promise<RequestHistory> {
    const outcomes: LoadOutcome[] = [];
    const addresses = system.group.entries.map(entry => entry.rpcAddress);
    for (let attempt = 0; attempt < maxSends; attempt += 1) {
        const address = addresses[(index + attempt) % addresses.length]!;
        const outcome = await sendLoadRequest(address, request);
        outcomes.push(outcome);
        if (outcome.kind === "answered") {
            break;
        }
        await sleep(resendPauseMs);
    }
    await sleep(pauseBetweenRequestsMs);
    return { request, outcomes };
}

/** Counts of requests; printed with these keys. */
interface FailureCounts {
    answered: number;
    /** Answered although no minion ran them. */
    lost: number;
    /** Run twice at the same time, or more than once without being idempotent. */
    doubled: number;
    /** Run although every send was answered with "not run". */
    falselyNotRun: number;
    wrongAnswer: number;
    resends: number;
    /** Requests without an answer after all sends, by the error of the last send. */
    readonly unanswered: Record<string, number>;
}

function countFailures(histories: readonly RequestHistory[], system: MeasuredSystem): FailureCounts {
    const spans = listRequestSpans(system.targets.minions);
    const runs = new Map<string, number>();
    for (const span of spans) {
        runs.set(span.key, (runs.get(span.key) ?? 0) + 1);
    }
    const overlapping = new Set(listOverlaps(spans));
    const counts: FailureCounts = {
        answered: 0,
        lost: 0,
        doubled: 0,
        falselyNotRun: 0,
        wrongAnswer: 0,
        resends: 0,
        unanswered: {},
    };
    for (const { request, outcomes } of histories) {
        const runCount = runs.get(request.id) ?? 0;
        const last = outcomes.at(-1);
        counts.resends += outcomes.length - 1;
        if (last?.kind === "answered") {
            counts.answered += 1;
            counts.wrongAnswer += Buffer.from(last.answer).equals(buildAnswer(request.body)) ? 0 : 1;
            counts.lost += runCount === 0 ? 1 : 0;
        }
        else if (last !== undefined) {
            const reason = last.reason.split(":")[0] ?? last.kind;
            counts.unanswered[reason] = (counts.unanswered[reason] ?? 0) + 1;
        }
        counts.doubled += overlapping.has(request.id) || (!request.idempotent && runCount > 1) ? 1 : 0;
        // The count of runs proves that a "not run" was false only when every send was answered with it.
        counts.falselyNotRun += outcomes.every(outcome => outcome.kind === "notRun") && runCount > 0 ? 1 : 0;
    }
    return counts;
}

/** Sends requests while processes are killed, frozen and restarted, and counts the failures. */
export async function measureFailures(options: { readonly seed?: string; readonly requests?: string; }): Promise<void> {
    const seed = Number(options.seed ?? 1);
    const count = Number(options.requests ?? 3_000);
    const system = await startMeasuredSystem(entryCount, minionCount);
    try {
        let done = false;
        const faults = injectFaults(system.group, xoroshiro128plus(seed), () => done);
        const requests = makeRequests(`failures-${seed}`, measuredService, count);
        const histories = await runConcurrently(
            requests,
            concurrentRequests,
            (request, index) => sendUntilAnswered(system, request, index),
        );
        done = true;
        const faultCounts = await faults;
        const result = countFailures(histories, system);
        const highestRunning = Math.max(...system.targets.minions.map(minion => minion.readHighestRunning()));
        console.log(
            `seed ${seed}: ${count} requests, faults ${JSON.stringify(faultCounts)}, result ${JSON.stringify(result)}, `
                + `most requests at one minion at a time ${highestRunning} of 8`,
        );
    }
    finally {
        await system.close();
    }
}
