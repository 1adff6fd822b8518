import type { MessageInitShape } from "@bufbuild/protobuf";
import { createClusterMachine } from "@chestnutspool/cluster-state";
import { startControl } from "@chestnutspool/control";
import { silentLogger } from "@chestnutspool/logger";
import { createMemoryNetwork } from "@chestnutspool/peer-link";
import { createMetrics } from "@chestnutspool/record-metrics";
import { createMemoryLog } from "@chestnutspool/replicated-log";
import type { ChoiceRule } from "@chestnutspool/route-requests";
import {
    CallerService,
    type ErrorDetail,
    ErrorDetailSchema,
    OperatorService,
    RequestClass,
    type SubmitRequestSchema,
} from "@chestnutspool/schema";
import { type MinionApi, type StandInMinionOptions, startStandInMinion } from "@chestnutspool/stand-ins";
import type { ErrorData, ProcessSettings } from "@chestnutspool/types";
import { Code, ConnectError, createClient } from "@connectrpc/connect";
import { createConnectTransport } from "@connectrpc/connect-node";
import { Effect, Exit, Scope } from "effect";
import { type EntryApi, startEntry } from "../index.js";
import { buildSettings } from "./test-settings.js";

/** An entry host in a test. */
export interface TestEntry {
    readonly id: string;
    readonly api: EntryApi;
    readonly client: ReturnType<typeof createCallerClient>;
    readonly operator: ReturnType<typeof createOperatorClient>;
    /** Ends the process without a drain. */
    readonly stop: Effect.Effect<void>;
}

function createTransport(address: string) {
    return createConnectTransport({ baseUrl: `http://${address}`, httpVersion: "1.1" });
}

function createCallerClient(address: string) {
    return createClient(CallerService, createTransport(address));
}

function createOperatorClient(address: string) {
    return createClient(OperatorService, createTransport(address));
}

/** Outcome for a caller: an answer, or the code and detail of an error. */
export type Outcome =
    | { readonly kind: "answered"; readonly status: number; readonly answer: Uint8Array; readonly requestId: string; }
    | { readonly kind: "failed"; readonly code: Code; readonly detail: ErrorDetail | undefined; };

/** Sends a request and returns its outcome. */
export const submit = (
    entry: TestEntry,
    fields: MessageInitShape<typeof SubmitRequestSchema>,
    signal?: AbortSignal,
): Effect.Effect<Outcome> =>
    Effect.promise(() =>
        entry.client.submit(buildRequest(fields), signal === undefined ? {} : { signal }).then(
            ({ status, answer, requestId }): Outcome => ({ kind: "answered", status, answer, requestId }),
            (thrown: unknown): Outcome => {
                const error = ConnectError.from(thrown);
                return { kind: "failed", code: error.code, detail: error.findDetails(ErrorDetailSchema)[0] };
            },
        )
    );

/** Returns "answered", or the reason of a "notRun" error, or the kind of any other error. */
export function describeOutcome(outcome: Outcome): string {
    if (outcome.kind === "answered") {
        return "answered";
    }
    const { detail } = outcome;
    return detail === undefined ? Code[outcome.code] : detail.reason === "" ? detail.kind : detail.reason;
}

/** Repeats a check until it holds; the time limit of the test runner ends one that never holds. */
export const awaitCondition = (check: () => boolean): Effect.Effect<void> =>
    Effect.gen(function*() {
        while (!check()) {
            yield* Effect.sleep(5);
        }
    });

/** Builds a request with defaults for tests. */
export function buildRequest(
    fields: MessageInitShape<typeof SubmitRequestSchema>,
): MessageInitShape<typeof SubmitRequestSchema> {
    return {
        tenant: "moreno",
        service: "plume",
        class: RequestClass.URGENT,
        deadlineMs: 5_000,
        idempotent: true,
        ...fields,
    };
}

/** Runs a test in a scope, which stops its processes at the end. */
export function runScoped(run: Effect.Effect<void, ErrorData, Scope.Scope>): Promise<void> {
    return Effect.runPromise(Effect.scoped(run));
}

/**
 * Starts one control replica with a log in memory; tests add entry hosts and minions. `leases` replaces some of the short
 * times of the tests.
 */
export const createTestClusterWith = Effect.fnUntraced(function*(leases: Partial<ProcessSettings["leases"]>) {
    const network = yield* createMemoryNetwork;
    const machine = createClusterMachine();
    const link = yield* network.createLink("control", silentLogger);
    const control = yield* startControl(buildSettings("control", {}, leases), {
        link,
        log: createMemoryLog("control", machine),
        machine,
        placer: { recordReports: () => undefined, planPlacements: () => [] },
        logger: silentLogger,
    });

    const addEntry = Effect.fnUntraced(function*(
        id: string,
        overrides: Partial<ProcessSettings["requests"]> = {},
        choiceRule: ChoiceRule = "leastExpectedWait",
    ) {
        const scope = yield* Scope.fork(yield* Effect.scope);
        const start = Effect.gen(function*() {
            const entryLink = yield* network.createLink(id, silentLogger);
            const services = { link: entryLink, logger: silentLogger, metrics: createMetrics(), choiceRule };
            return yield* startEntry(buildSettings(id, overrides, leases), services);
        });
        const api = yield* Scope.provide(start, scope);
        yield* awaitCondition(() => api.readHealth().ready);
        const entry: TestEntry = {
            id,
            api,
            client: createCallerClient(api.rpcAddress),
            operator: createOperatorClient(api.rpcAddress),
            stop: Scope.close(scope, Exit.void),
        };
        return entry;
    });

    /** Creates the service with a limit for the run time of its requests. */
    const addService = (entry: TestEntry, maxRunMs: number): Effect.Effect<void> =>
        Effect.promise(async () => {
            await entry.operator.applyTenant({
                operatorRequestId: "create-tenant",
                tenant: { id: "moreno", quota: { milliCpu: 1_000, memoryMib: 1_000, accelerators: 0 }, weight: 1 },
            });
            await entry.operator.applyWork({
                operatorRequestId: "create-service",
                work: {
                    name: "plume",
                    tenant: "moreno",
                    resources: { milliCpu: 1_000, memoryMib: 100, accelerators: 0 },
                    kind: { case: "service", value: { replicas: 0, maxRunMs } },
                },
            });
        });

    const addMinion = (
        entries: readonly TestEntry[],
        options: Partial<StandInMinionOptions> & { readonly minion: string; },
    ): Effect.Effect<MinionApi, ErrorData, Scope.Scope> =>
        Effect.tap(
            startStandInMinion({
                service: "plume",
                addresses: entries.map(entry => entry.api.rpcAddress),
                availabilityZone: "zone-a",
                slots: 4,
                connections: 16,
                announceIntervalMs: 100,
                ...options,
            }),
            minion => awaitCondition(() => minion.countAnnounced() > 1),
        );

    return { network, control, state: machine.state, addEntry, addService, addMinion };
});

/** Starts such a system with short leases and sessions. */
export const createTestCluster = createTestClusterWith({});

/**
 * Starts such a system for tests in which nothing expires: sessions and silent minions outlast any pause of the test
 * process, after which requests are rightly refused as not run.
 */
export const createLastingTestCluster = createTestClusterWith({ sessionTtlMs: 60_000, minionSilenceMs: 60_000 });
