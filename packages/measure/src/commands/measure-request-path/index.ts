import { runConcurrently } from "@chestnutspool/cli/fakes";
import { Agent, request as sendHttp } from "node:http";
import { createTimeHistogram, formatTimes, type TimeHistogram } from "../../support/histogram.js";
import { readProcessUsage } from "../../support/process-usage.js";
import { createBody, type MeasuredSystem, sendRequest, startMeasuredSystem } from "../../support/start-system.js";

const warmUpRequests = 1_000;
const latencyRequests = 5_000;
const latencyConcurrency = 4;
const throughputRequests = 20_000;
const throughputConcurrency = 24;
const minionCount = 4;
const runMs = 1;

const runOrdinals = (concurrency: number, count: number, run: (ordinal: number) => Promise<void>) =>
    runConcurrently(Array.from({ length: count }, (unused, ordinal) => ordinal), concurrency, run);

let attemptOrdinal = 0;
const directAgent = new Agent({ keepAlive: true });

/** Calls a stand-in minion directly, with the headers that an entry host sends. */
function sendDirect(address: string, epoch: number): Promise<void> {
    attemptOrdinal += 1;
    const body = createBody({ runMs });
    const [host, port] = address.split(":");
    return new Promise((resolve, reject) => {
        const outgoing = sendHttp({
            host,
            port,
            path: "/run",
            method: "POST",
            agent: directAgent,
            headers: {
                "content-length": body.length,
                "chestnutspool-attempt": `direct-${attemptOrdinal}`,
                "chestnutspool-epoch": String(epoch),
                "chestnutspool-run-lease-ms": "2000",
                "chestnutspool-tenant": "hakata",
                "chestnutspool-class": "urgent",
            },
        }, response => {
            response.on("data", () => undefined);
            response.on(
                "end",
                () => response.statusCode === 200 ? resolve() : reject(new Error(`status ${response.statusCode}`)),
            );
        });
        outgoing.on("error", reject);
        outgoing.end(body);
    });
}

async function measureLatency(run: (ordinal: number) => Promise<unknown>): Promise<TimeHistogram> {
    await runOrdinals(latencyConcurrency, warmUpRequests, async ordinal => {
        await run(ordinal);
    });
    const histogram = createTimeHistogram();
    await runOrdinals(latencyConcurrency, latencyRequests, async ordinal => {
        const startedAtMs = performance.now();
        await run(warmUpRequests + ordinal);
        histogram.recordMs(performance.now() - startedAtMs);
    });
    return histogram;
}

function printRow(name: string, histogram: TimeHistogram, baseline: TimeHistogram): void {
    const ratios = [50, 99].map(percentile =>
        (histogram.readPercentileMs(percentile) / baseline.readPercentileMs(percentile)).toFixed(2)
    );
    console.log(`| ${name} | ${formatTimes(histogram)} | ${ratios.join(" | ")} |`);
}

async function measureThroughput(system: MeasuredSystem): Promise<void> {
    const { group, clients } = system;
    const before = group.entries.map(entry => readProcessUsage(entry.processId).cpuMs);
    const startedAtMs = performance.now();
    await runOrdinals(throughputConcurrency, throughputRequests, async ordinal => {
        await sendRequest(clients[ordinal % clients.length]!.caller, { runMs: 0 });
    });
    const seconds = (performance.now() - startedAtMs) / 1_000;
    const cpuSeconds = group.entries.reduce(
        (sum, entry, index) => sum + readProcessUsage(entry.processId).cpuMs - before[index]!,
        0,
    ) / 1_000;
    console.log(
        `${throughputRequests} requests in ${throughputConcurrency} lanes over ${clients.length} entry processes: `
            + `${(throughputRequests / seconds).toFixed(0)} requests/s, ${
                cpuSeconds.toFixed(1)
            } s of processor time of entry, `
            + `${(throughputRequests / cpuSeconds).toFixed(0)} requests per core second of entry`,
    );
}

/** Compares the time of a request through entry hosts with a direct call to the same stand-in, in one run. */
export async function measureRequestPath(): Promise<void> {
    const system = await startMeasuredSystem(2, minionCount);
    try {
        const { targets, clients } = system;
        const { minions } = targets;
        const entry = clients[0]!;
        const direct = await measureLatency(ordinal => {
            const minion = minions[ordinal % minions.length]!;
            return sendDirect(minion.address, minion.readHighestEpoch());
        });
        const withoutId = await measureLatency(() => sendRequest(entry.caller, { runMs }));
        const withId = await measureLatency(ordinal =>
            sendRequest(entry.caller, { runMs, requestId: `path-${ordinal}` })
        );
        const notIdempotent = await measureLatency(ordinal =>
            sendRequest(entry.caller, { runMs, requestId: `once-${ordinal}`, idempotent: false })
        );
        console.log(
            `${latencyRequests} requests each, ${latencyConcurrency} lanes, run time ${runMs} ms, 2 entry and 3 control processes`,
        );
        console.log("| path | p50 ms | p90 ms | p99 ms | max ms | p50 ratio | p99 ratio |");
        console.log("|---|---|---|---|---|---|---|");
        printRow("direct to the minion", direct, direct);
        printRow("entry, id made by the entry host", withoutId, direct);
        printRow("entry, caller's id (half are forwarded)", withId, direct);
        printRow("entry, not idempotent (recorded by control)", notIdempotent, direct);
        await measureThroughput(system);
    }
    finally {
        await system.close();
        directAgent.destroy();
    }
}
