import { runTest } from "@chestnutspool/replicated-log/fakes";
import { Effect } from "effect";
import fc from "fast-check";
import { test } from "node:test";
import { startDirectoryCluster } from "./fakes/directory-cluster.js";
import { createDirectoryRun, type DirectoryAction } from "./fakes/directory-model.js";

const seed = Number(process.env["MEMBERSHIP_MODEL_SEED"] ?? 22);
const runFactor = Number(process.env["MEMBERSHIP_MODEL_RUNS"] ?? 1);
const numRuns = 4;
const size = 5;

interface Step {
    readonly action: DirectoryAction;
    readonly durationMs: number;
}

function buildSteps(): fc.Arbitrary<Step[]> {
    const replica = fc.integer({ min: 0, max: size });
    const kind = <Kind extends DirectoryAction["kind"]>(value: Kind) => fc.constant(value);
    const keptShare = fc.constantFrom(0, 0.5, 1);
    const downMs = fc.integer({ min: 100, max: 3_000 });
    const count = fc.integer({ min: 1, max: 10 });
    const action: fc.Arbitrary<DirectoryAction> = fc.oneof(
        { weight: 6, arbitrary: fc.record({ kind: kind("propose"), replica, count }) },
        { weight: 6, arbitrary: fc.record({ kind: kind("loseDisk"), replica, downMs }) },
        { weight: 2, arbitrary: fc.record({ kind: kind("crash"), replica, keptShare }) },
        { weight: 6, arbitrary: fc.record({ kind: kind("restart"), replica }) },
        { weight: 1, arbitrary: fc.record({ kind: kind("powerLoss"), keptShare }) },
        {
            weight: 3,
            arbitrary: fc.record({
                kind: kind("isolate"),
                replica,
                inbound: fc.boolean(),
                outbound: fc.boolean(),
            }),
        },
        { weight: 2, arbitrary: fc.record({ kind: kind("heal"), replica }) },
        { weight: 2, arbitrary: fc.record({ kind: kind("healAll") }) },
        { weight: 1, arbitrary: fc.record({ kind: kind("add") }) },
        { weight: 3, arbitrary: fc.record({ kind: kind("advance") }) },
    );
    const durationMs = fc.oneof(
        fc.integer({ min: 1, max: 600 }),
        fc.integer({ min: 4_000, max: 4_500 }),
        fc.integer({ min: 1, max: 8_000 }),
    );
    return fc.array(fc.record({ action, durationMs }), { minLength: 5, maxLength: 25 });
}

// Guards against a fault that is over and still costs the cluster a voter, its leader or an acknowledged command.
void test("all processes take part again after lost disks one at a time, cuts, crashes and power losses", async () => {
    await fc.assert(
        fc.asyncProperty(
            fc.integer({ min: 1, max: 1_000_000 }),
            buildSteps(),
            (clusterSeed, steps) =>
                runTest(Effect.gen(function*() {
                    const run = createDirectoryRun(yield* startDirectoryCluster(size, clusterSeed));
                    for (const { action, durationMs } of steps) {
                        yield* run.runAction(action, durationMs);
                    }
                    yield* run.finish;
                })),
        ),
        {
            seed,
            includeErrorInReport: true,
            numRuns: numRuns * runFactor,
            endOnFailure: process.env["MEMBERSHIP_MODEL_SHRINK"] === undefined,
        },
    );
});
