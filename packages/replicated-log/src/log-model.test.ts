import { Effect } from "effect";
import { TestClock } from "effect/testing";
import fc from "fast-check";
import { test } from "node:test";
import { createModelRun, maxDelayMs, type ModelAction } from "./fakes/log-model.js";
import { createTestCluster, testLogSection } from "./fakes/test-cluster.js";

const seed = Number(process.env["LOG_MODEL_SEED"] ?? 20_261);
const runFactor = Number(process.env["LOG_MODEL_RUNS"] ?? 1);
/** Small, so that runs of a few dozen commands use snapshots. */
const snapshotEveryEntries = 8;

function buildActions(size: number): fc.Arbitrary<ModelAction[]> {
    const replica = fc.integer({ min: 0, max: size - 1 });
    const kind = <Kind extends ModelAction["kind"]>(value: Kind) => fc.constant(value);
    const keptShare = fc.constantFrom(0, 0.3, 0.7, 1);
    const change = fc.constantFrom("addLearner", "promoteLearner", "removeMember", "addLearner", "promoteLearner");
    return fc.array(
        fc.oneof(
            {
                weight: 8,
                arbitrary: fc.record({ kind: kind("propose"), replica, count: fc.integer({ min: 1, max: 6 }) }),
            },
            {
                weight: 6,
                arbitrary: fc.record({ kind: kind("advance"), durationMs: fc.integer({ min: 1, max: 1_500 }) }),
            },
            { weight: 3, arbitrary: fc.record({ kind: kind("read"), replica }) },
            { weight: 4, arbitrary: fc.record({ kind: kind("crash"), replica, keptShare }) },
            { weight: 2, arbitrary: fc.record({ kind: kind("powerLoss"), keptShare }) },
            { weight: 4, arbitrary: fc.record({ kind: kind("restart"), replica }) },
            { weight: 1, arbitrary: fc.record({ kind: kind("wipe"), replica }) },
            {
                weight: 3,
                arbitrary: fc.record({ kind: kind("cut"), from: replica, to: replica, bothWays: fc.boolean() }),
            },
            { weight: 2, arbitrary: fc.record({ kind: kind("isolate"), replica }) },
            { weight: 3, arbitrary: fc.record({ kind: kind("heal") }) },
            {
                weight: 2,
                arbitrary: fc.record({
                    kind: kind("delay"),
                    from: replica,
                    to: replica,
                    delayMs: fc.integer({ min: 0, max: maxDelayMs }),
                }),
            },
            {
                weight: 2,
                arbitrary: fc.record({ kind: kind("slowDisk"), replica, delayMs: fc.constantFrom(0, 40, 150, 400) }),
            },
            {
                weight: 2,
                arbitrary: fc.record({
                    kind: kind("fullDisk"),
                    replica,
                    freeBytes: fc.constantFrom(0, 30, 300, Number.POSITIVE_INFINITY),
                }),
            },
            { weight: 1, arbitrary: fc.record({ kind: kind("transfer") }) },
            { weight: 2, arbitrary: fc.record({ kind: kind("change"), replica, change }) },
        ),
        { minLength: 10, maxLength: 60 },
    );
}

const runModel = Effect.fnUntraced(function*(size: number, clusterSeed: number, actions: readonly ModelAction[]) {
    const section = { ...testLogSection, snapshotEveryEntries };
    const cluster = yield* createTestCluster(size, clusterSeed, section);
    for (const replica of cluster.replicas) {
        yield* cluster.startReplica(replica.id);
    }
    yield* TestClock.adjust(3_000);
    const run = createModelRun(cluster);
    for (const action of actions) {
        yield* run.runAction(action);
    }
    yield* run.finish;
});

for (const [size, numRuns] of [[3, 60], [5, 25]] as const) {
    // Guards against lost or changed entries, two leaders in a term, diverging replicas and stale confirmed reads.
    void test(`${size} replicas keep acknowledged commands under random faults`, async () => {
        await fc.assert(
            fc.asyncProperty(
                fc.integer({ min: 1, max: 1_000_000 }),
                buildActions(size),
                (clusterSeed, actions) =>
                    Effect.runPromise(
                        Effect.provide(Effect.scoped(runModel(size, clusterSeed, actions)), TestClock.layer()),
                    ),
            ),
            {
                seed,
                includeErrorInReport: true,
                numRuns: numRuns * runFactor,
                endOnFailure: process.env["LOG_MODEL_SHRINK"] === undefined,
            },
        );
    });
}
