import type { MessageInitShape } from "@bufbuild/protobuf";
import { RequestClass, type WorkSchema } from "@chestnutspool/schema";
import { Effect } from "effect";
import { callEntry } from "../../call-entry.js";
import type { CommandIo } from "../../command.js";
import { type CliFailure } from "../../failure.js";
import type { CallSettings } from "../../read-options.js";
import type { DevSystem } from "./dev-system.js";

type WorkInit = MessageInitShape<typeof WorkSchema>;

const pollMs = 50;
const waitTimeoutMs = 60_000;
const tenantQuota = { milliCpu: 12_000, memoryMib: 24_576, accelerators: 2 };
const oneCore = { milliCpu: 1000, memoryMib: 512, accelerators: 0 };

/** Results of the demonstration, for the last line of the output. */
interface DemoSummary {
    readonly answers: number;
    readonly tasks: number;
    readonly resumedFrom: string;
}

function createDemoFailure(text: string): CliFailure {
    return { exitCode: 1, kind: "internal", text, remedy: "run dev again with --verbose and report the log lines" };
}

const awaitResult = Effect.fnUntraced(function*<Value>(
    name: string,
    read: Effect.Effect<Value | undefined, CliFailure>,
) {
    for (let waitedMs = 0; waitedMs < waitTimeoutMs; waitedMs += pollMs) {
        const value = yield* read;
        if (value !== undefined) {
            return value;
        }
        yield* Effect.sleep(pollMs);
    }
    return yield* Effect.fail(createDemoFailure(`${name} was not observed within ${waitTimeoutMs} ms`));
});

const applyWork = (settings: CallSettings, work: WorkInit) =>
    callEntry(
        settings,
        "always",
        ({ operator }, limits) =>
            operator.applyWork({ operatorRequestId: `dev-${work.name ?? ""}`, work, expectedRevision: 0n }, limits),
    );

const applyTenant = (settings: CallSettings, id: string) =>
    callEntry(settings, "always", ({ operator }, limits) =>
        operator.applyTenant(
            { operatorRequestId: `dev-${id}`, tenant: { id, quota: tenantQuota, weight: 1 }, expectedRevision: 0n },
            limits,
        ));

const listTasks = (settings: CallSettings, work: string) =>
    Effect.map(
        callEntry(settings, "always", ({ operator }, limits) => operator.listTasks({ work, limit: 1000 }, limits)),
        response => response.tasks,
    );

const runRequest = Effect.fnUntraced(function*(
    io: CommandIo,
    settings: CallSettings,
    tenant: string,
    service: string,
    text: string,
) {
    yield* applyWork(settings, {
        name: service,
        tenant,
        resources: oneCore,
        kind: { case: "service", value: { maxRunMs: 2000 } },
    });
    const body = new TextEncoder().encode(text);
    const response = yield* callEntry(settings, "whenNotRun", ({ caller }, { signal }) =>
        caller.submit(
            { tenant, service, class: RequestClass.URGENT, deadlineMs: 5000, idempotent: true, body },
            { signal },
        ));
    io.writeLine(`${service}: "${text}" answered by ${response.minion} with ${response.answer.length} bytes`);
});

const runJob = Effect.fnUntraced(
    function*(io: CommandIo, settings: CallSettings, tenant: string, name: string, tasks: number) {
        yield* applyWork(settings, {
            name,
            tenant,
            resources: oneCore,
            command: "run-ms=300",
            kind: { case: "job", value: { tasks, expectedRunMs: 300 } },
        });
        const ended = yield* awaitResult(
            `the end of ${name}`,
            Effect.map(
                listTasks(settings, name),
                all => all.length === tasks && all.every(task => task.phase === "succeeded") ? all : undefined,
            ),
        );
        io.writeLine(
            `${name}: ${ended.length} tasks succeeded`,
        );
    },
);

const runWatch = Effect.fnUntraced(
    function*(io: CommandIo, settings: CallSettings, system: DevSystem, name: string) {
        yield* applyWork(settings, {
            name,
            tenant: "moreno",
            resources: oneCore,
            kind: { case: "watch", value: { checkpointIntervalMs: 200 } },
        });
        const readTask = Effect.map(listTasks(settings, name), tasks => tasks[0]);
        const before = yield* awaitResult(
            `a checkpoint of ${name}`,
            Effect.map(readTask, task => task?.phase === "running" && task.checkpoint !== "" ? task : undefined),
        );
        io.writeLine(`${name}: runs on ${before.worker} with checkpoint ${before.checkpoint}`);
        yield* callEntry(settings, "always", ({ operator }, limits) =>
            operator.setWorkerAdmission(
                { operatorRequestId: "dev-drain", worker: before.worker, admission: "draining" },
                limits,
            ));
        yield* system.evictTask(before.id, Number(before.token));
        const after = yield* awaitResult(
            `the second start of ${name}`,
            Effect.map(readTask, task => task?.phase === "running" && task.token > before.token ? task : undefined),
        );
        const starts = system.listStartCheckpoints(before.id);
        const resumedFrom = starts.at(-1);
        if (starts.length !== 2 || resumedFrom === undefined) {
            return yield* Effect.fail(
                createDemoFailure(`${name} was started ${starts.length} times instead of twice`),
            );
        }
        io.writeLine(
            `${name}: evicted from ${before.worker}, resumed on ${after.worker} from checkpoint ${resumedFrom}`,
        );
        return resumedFrom;
    },
);

/** Runs a short demonstration on a running system and returns its results. */
export const runDemo = Effect.fnUntraced(function*(io: CommandIo, settings: CallSettings, system: DevSystem) {
    yield* applyTenant(settings, "hakata");
    yield* applyTenant(settings, "moreno");
    yield* runRequest(io, settings, "hakata", "stock-check", "M8x40 galvanized");
    yield* runRequest(io, settings, "moreno", "plume-check", "flight level 330");
    yield* runJob(io, settings, "moreno", "forecast", 2);
    yield* runJob(io, settings, "hakata", "price-list", 6);
    const resumedFrom = yield* runWatch(io, settings, system, "ash-watch");
    const summary: DemoSummary = { answers: 2, tasks: 8, resumedFrom };
    return summary;
});
