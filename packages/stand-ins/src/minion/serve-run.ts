import { Effect } from "effect";
import type { IncomingMessage, ServerResponse } from "node:http";
import { buildAnswer, parseWork } from "./minion-work.js";
import type { RunEnd, RunRecords } from "./run-records.js";

/** Simulated fault of a stand-in minion. */
export type MinionFault =
    | "none"
    /** Refuses every request as not started. */
    | "refuse"
    /** Runs, then closes the connection without an answer. */
    | "dropBeforeAnswer"
    /** Closes the connection in the middle of the answer. */
    | "dropMidAnswer"
    /** Answers without a length, so that the end of the connection is the end of the answer. */
    | "noLength"
    /** Answers with status 500. */
    | "failing";

/** Current behaviour of a minion; it can change between requests. */
export interface MinionBehaviour {
    fault: MinionFault;
    /** Factor of the speed: a run takes its run time divided by it. */
    speed: number;
    frozen: boolean;
    highestEpoch: number;
    readonly defaultRunMs: number;
    /** Time after which a run notices that its connection has closed, in milliseconds. */
    readonly closeNoticeMs: number;
}

const notStartedHeaders = { "chestnutspool-not-started": "1" };
/** Interval at which a request checks whether the minion is still frozen, in milliseconds. */
const frozenPollMs = 5;
/** Size of the chunks in which an answer is written, in bytes. */
const writeChunkBytes = 64 * 1024;

interface RunHeaders {
    readonly attempt: string;
    readonly epoch: number;
    readonly leaseMs: number;
    readonly tenant: string;
    readonly className: string;
}

function readHeaders(request: IncomingMessage): RunHeaders {
    const read = (name: string): string => String(request.headers[`chestnutspool-${name}`] ?? "");
    return {
        attempt: read("attempt"),
        epoch: Number(read("epoch")),
        leaseMs: Number(read("run-lease-ms")),
        tenant: read("tenant"),
        className: read("class"),
    };
}

const readBody = (request: IncomingMessage) =>
    Effect.callback<Uint8Array | undefined>(resume => {
        const parts: Buffer[] = [];
        request.on("data", (part: Buffer) => parts.push(part));
        request.on("end", () => resume(Effect.succeed(Buffer.concat(parts))));
        request.on("close", () => resume(Effect.succeed(undefined)));
    });

const awaitClose = (response: ServerResponse) =>
    Effect.callback<RunEnd>(resume => {
        if (response.destroyed) {
            resume(Effect.succeed("connectionClosed"));
        }
        response.once("close", () => resume(Effect.succeed("connectionClosed")));
    });

const awaitDrain = (response: ServerResponse) =>
    Effect.callback<void>(resume => {
        const end = (): void => {
            response.off("drain", end);
            response.off("close", end);
            resume(Effect.void);
        };
        response.on("drain", end);
        response.on("close", end);
    });

const writeAnswer = Effect.fnUntraced(function*(response: ServerResponse, answer: Uint8Array, fault: MinionFault) {
    if (fault === "noLength") {
        response.useChunkedEncodingByDefault = false;
        response.writeHead(200, { connection: "close" });
    }
    else {
        response.writeHead(fault === "failing" ? 500 : 200, { "content-length": answer.length });
    }
    const lengthToWrite = fault === "dropMidAnswer" ? Math.floor(answer.length / 2) : answer.length;
    for (let start = 0; start < lengthToWrite; start += writeChunkBytes) {
        const isFull = !response.write(answer.subarray(start, Math.min(lengthToWrite, start + writeChunkBytes)));
        if (isFull && !response.destroyed) {
            yield* awaitDrain(response);
        }
    }
    if (lengthToWrite < answer.length) {
        response.socket?.destroy();
        return;
    }
    response.end();
});

/**
 * Serves `POST /run`. Refuses a request with an epoch below the highest one or an expired run lease, and every request
 * while the fault is `refuse`; otherwise runs it and answers with bytes derived from the body.
 */
export const serveRun = Effect.fnUntraced(function*(
    request: IncomingMessage,
    response: ServerResponse,
    behaviour: MinionBehaviour,
    records: RunRecords,
    readNowMs: () => number,
) {
    const headers = readHeaders(request);
    const arrivedMs = readNowMs();
    const body = yield* readBody(request);
    while (behaviour.frozen) {
        yield* Effect.sleep(frozenPollMs);
    }
    const isExpired = readNowMs() - arrivedMs >= headers.leaseMs;
    if (body === undefined || response.destroyed) {
        return;
    }
    if (headers.epoch < behaviour.highestEpoch || isExpired || behaviour.fault === "refuse") {
        response.writeHead(409, notStartedHeaders).end();
        return;
    }
    behaviour.highestEpoch = headers.epoch;
    const { key, runMs } = parseWork(body, behaviour.defaultRunMs);
    const { attempt, epoch, tenant, className } = headers;
    records.startRun({ attempt, key, tenant, className, epoch, startedMs: readNowMs() });
    const awaitRunTime: Effect.Effect<RunEnd> = Effect.as(Effect.sleep(runMs / behaviour.speed), "completed" as const);
    const awaitLeaseEnd: Effect.Effect<RunEnd> = Effect.as(
        Effect.sleep(headers.leaseMs - (readNowMs() - arrivedMs)),
        "leaseEnded" as const,
    );
    const awaitCloseNotice = Effect.tap(awaitClose(response), () => Effect.sleep(behaviour.closeNoticeMs));
    const end = yield* Effect.raceFirst(awaitRunTime, Effect.raceFirst(awaitLeaseEnd, awaitCloseNotice));
    records.endRun(attempt, end, readNowMs());
    if (end !== "completed" || response.destroyed || behaviour.fault === "dropBeforeAnswer") {
        response.socket?.destroy();
        return;
    }
    yield* writeAnswer(response, buildAnswer(body), behaviour.fault);
});
