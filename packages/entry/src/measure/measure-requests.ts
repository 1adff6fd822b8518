// Measures urgent requests through entry hosts, with minions of unequal speed, for each choice rule.
// All hosts, minions and callers share one process and one thread, so the times include the load of the callers.
// Usage: node packages/entry/dist/measure/measure-requests.js [seconds for each rule] [requests a second]
import { createMetrics } from "@chestnutspool/record-metrics";
import type { ChoiceRule } from "@chestnutspool/route-requests";
import { buildBody } from "@chestnutspool/stand-ins";
import { Effect } from "effect";
import { performance } from "node:perf_hooks";
import { createTestCluster, describeOutcome, submit, type TestEntry } from "../fakes/test-cluster.js";

const rules: readonly ChoiceRule[] = ["leastExpectedWait", "leastOutstanding", "twoChoices", "roundRobin"];
const entryCount = 2;
const minionCount = 8;
/** The first two minions run at half speed. */
const slowMinions = 2;
const slowSpeed = 0.5;
/** Mean run time in milliseconds at speed 1; exponentially distributed. */
const meanRunMs = 20;
const seconds = Number(process.argv[2] ?? 10);
const perSecond = Number(process.argv[3] ?? 400);

/** Creates a generator of random numbers from 0 to 1 (Park and Miller), which repeats its sequence on every run. */
function createRandom(seed: number): () => number {
    let state = seed;
    return () => {
        state = state * 48_271 % 2_147_483_647;
        return state / 2_147_483_647;
    };
}

const measureRule = Effect.fnUntraced(function*(rule: ChoiceRule) {
    const cluster = yield* createTestCluster;
    const entries: TestEntry[] = [];
    for (let index = 0; index < entryCount; index += 1) {
        entries.push(yield* cluster.addEntry(`entry-${index}`, {}, rule));
    }
    for (let index = 0; index < minionCount; index += 1) {
        const minion = yield* cluster.addMinion(entries, { minion: `minion-${index}`, slots: 8, connections: 64 });
        minion.setSpeed(index < slowMinions ? slowSpeed : 1);
    }
    const random = createRandom(17);
    const metrics = createMetrics();
    const send = Effect.fnUntraced(function*(index: number, runMs: number) {
        const startedMs = performance.now();
        const body = buildBody({ key: `key-${index}`, runMs, answerBytes: 500 });
        const outcome = yield* submit(entries[index % entryCount] as TestEntry, { body, deadlineMs: 2_000 });
        metrics.recordDuration("requestMs", "moreno", "urgent", performance.now() - startedMs);
        metrics.countEvent(describeOutcome(outcome), "moreno", "urgent");
    });
    const beganMs = performance.now();
    let dueMs = beganMs;
    for (let index = 0; dueMs < beganMs + seconds * 1_000; index += 1) {
        dueMs += -Math.log(random()) * 1_000 / perSecond;
        yield* Effect.sleep(Math.max(0, dueMs - performance.now()));
        yield* Effect.forkScoped(send(index, -Math.log(random()) * meanRunMs));
    }
    yield* Effect.sleep(2_500);
    const [distribution] = metrics.readDistributions();
    const counts = metrics.readCounters().map(each => `${each.name} ${each.value}`).join(", ");
    const figures = [distribution?.p50, distribution?.p90, distribution?.p99, distribution?.p999, distribution?.max]
        .map(value => (value ?? NaN).toFixed(1));
    console.log(`| ${rule} | ${figures.join(" | ")} | ${counts} |`);
});

console.log(`${perSecond} requests/s for ${seconds} s, ${entryCount} entry hosts, ${minionCount} minions, seed 17`);
console.log("| rule | p50 ms | p90 ms | p99 ms | p99.9 ms | max ms | outcomes |\n|---|---|---|---|---|---|---|");
for (const rule of rules) {
    await Effect.runPromise(Effect.scoped(measureRule(rule)));
}
