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
const lanes = 12;
const pacePauseMs = 40;
const resendTries = 20;
const resendPauseMs = 500;

/** What became of one request over all its sends. */
interface RequestHistory {
    readonly request: LoadRequest;
    readonly outcomes: readonly LoadOutcome[];
}

/** Sends a request, and again with the same id through changing entry hosts, until it is answered or tries run out. */
async function sendUntilAnswered(system: MeasuredSystem, request: LoadRequest, index: number): Promise<RequestHistory> {
    const outcomes: LoadOutcome[] = [];
    const addresses = system.group.entries.map(entry => entry.rpcAddress);
    for (let attempt = 0; attempt < resendTries; attempt += 1) {
        const address = addresses[(index + attempt) % addresses.length]!;
        const outcome = await sendLoadRequest(address, request);
        outcomes.push(outcome);
        if (outcome.kind === "answered") {
            break;
        }
        await sleep(resendPauseMs);
    }
    await sleep(pacePauseMs);
    return { request, outcomes };
}

interface Verdict {
    answered: number;
    lost: number;
    doubled: number;
    falselyNotRun: number;
    wrongAnswer: number;
    resends: number;
    /** Requests without an answer after all sends, by what the last send was told. */
    readonly unanswered: Record<string, number>;
}

function judge(histories: readonly RequestHistory[], system: MeasuredSystem): Verdict {
    const spans = listRequestSpans(system.targets.minions);
    const runs = new Map<string, number>();
    for (const span of spans) {
        runs.set(span.key, (runs.get(span.key) ?? 0) + 1);
    }
    const overlapping = new Set(listOverlaps(spans));
    const verdict: Verdict = {
        answered: 0,
        lost: 0,
        doubled: 0,
        falselyNotRun: 0,
        wrongAnswer: 0,
        resends: 0,
        unanswered: {},
    };
    for (const { request, outcomes } of histories) {
        const count = runs.get(request.id) ?? 0;
        const last = outcomes.at(-1);
        verdict.resends += outcomes.length - 1;
        if (last?.kind === "answered") {
            verdict.answered += 1;
            verdict.wrongAnswer += Buffer.from(last.answer).equals(buildAnswer(request.body)) ? 0 : 1;
            verdict.lost += count === 0 ? 1 : 0;
        }
        else if (last !== undefined) {
            const reason = last.reason.split(":")[0] ?? last.kind;
            verdict.unanswered[reason] = (verdict.unanswered[reason] ?? 0) + 1;
        }
        verdict.doubled += overlapping.has(request.id) || (!request.idempotent && count > 1) ? 1 : 0;
        // Only when every send was answered with "not run" does the count of runs prove that one answer was false.
        verdict.falselyNotRun += outcomes.every(outcome => outcome.kind === "notRun") && count > 0 ? 1 : 0;
    }
    return verdict;
}

/** Runs load while processes are killed, frozen and restarted, and counts what went wrong. */
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
            lanes,
            (request, index) => sendUntilAnswered(system, request, index),
        );
        done = true;
        const counts = await faults;
        const verdict = judge(histories, system);
        const highest = Math.max(...system.targets.minions.map(minion => minion.readHighestRunning()));
        console.log(
            `seed ${seed}: ${count} requests, faults ${JSON.stringify(counts)}, result ${JSON.stringify(verdict)}, `
                + `most requests at one minion at a time ${highest} of 8`,
        );
    }
    finally {
        await system.close();
    }
}
