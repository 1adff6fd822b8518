import { describeError } from "@chestnutspool/errors";
import { CallerService, OperatorService, TargetService, WorkerService } from "@chestnutspool/schema";
import type { ErrorData } from "@chestnutspool/types";
import type { ServiceImpl } from "@connectrpc/connect";
import { connectNodeAdapter } from "@connectrpc/connect-node";
import { Effect } from "effect";
import { createServer, type IncomingMessage, type Server, type ServerResponse } from "node:http";
import type { AddressInfo } from "node:net";
import type { Announcements } from "./announcements.js";
import { checkAnnouncement } from "./check-request.js";
import type { EntryContext } from "./entry-context.js";
import type { ForwardedServices } from "./forwarded-services.js";
import type { EntryHealth } from "./health.js";
import { createRpcError, type RunCall } from "./rpc-errors.js";

/** Services and state that the RPC server exposes. */
export interface ServerDependencies {
    readonly caller: ServiceImpl<typeof CallerService>;
    readonly announcements: Announcements;
    readonly forwarded: ForwardedServices;
    readonly runCall: RunCall;
    readonly readHealth: () => EntryHealth;
}

/** A running RPC server. */
export interface RpcServer {
    /** IP address and port. */
    readonly address: string;
    /** Lets each connection close after its next answer. */
    readonly stopAccepting: () => void;
    /** Waits until all answers to callers are written, at most for the drain limit. */
    readonly awaitAnswers: Effect.Effect<void>;
}

/** Bytes allowed for the fields of a message besides its body. */
const envelopeBytes = 64 * 1024;
/** Characters of base64 for each byte of a body in JSON. */
const base64Growth = 4 / 3;
/** Largest refused message that is still read to its end, in bytes. */
const drainedBodyLimitBytes = 64 * 1024 * 1024;
/** Time limit for the head of an HTTP request, in milliseconds; a slow sender must not hold a connection. */
const headersTimeoutMs = 10_000;
/** Time limit for a whole HTTP request with its body, in milliseconds. */
const requestTimeoutMs = 60_000;
/** Idle time after which a caller's connection is closed, in milliseconds; above that of common load balancers. */
const keepAliveTimeoutMs = 65_000;
/** Prefix of the paths of CallerService. */
const callerPath = `/${CallerService.typeName}/`;
const answerPollMs = 20;
/** Time limit for the answers still open when a drained host closes its server, in milliseconds. */
const lastAnswersLimitMs = 1_000;

function createTargetService(dependencies: ServerDependencies): ServiceImpl<typeof TargetService> {
    const { announcements, runCall } = dependencies;
    return {
        announce: (request, call) =>
            runCall(
                checkAnnouncement(request).caseOf<ReturnType<Announcements["receiveAnnouncement"]>>({
                    Left: error => Effect.fail(error),
                    Right: announcements.receiveAnnouncement,
                }),
                call.signal,
            ).then(answer => ({ epoch: BigInt(answer.epoch), announceAgainMs: answer.announceAgainMs })),
        leave: (request, call) =>
            runCall(announcements.receiveLeave(request.minion, request.incarnation), call.signal)
                .then(attemptsInProgress => ({ attemptsInProgress })),
    };
}

function createOperatorService(
    context: EntryContext,
    dependencies: ServerDependencies,
): ServiceImpl<typeof OperatorService> {
    const methods: ServiceImpl<typeof OperatorService> = {
        ...dependencies.forwarded.operatorMethods,
        watchEvents: (request, call) => dependencies.forwarded.watchEvents(request, call.signal),
        getHealth: () => {
            const { reasons, configurationRevision, ...health } = dependencies.readHealth();
            return {
                ...health,
                reasons: [...reasons],
                configurationRevision: BigInt(configurationRevision),
                role: "entry",
            };
        },
        getStatistics: request => {
            if (request.process !== "" && request.process !== context.self) {
                throw createRpcError({
                    kind: "invalidArgument",
                    field: "process",
                    seen: request.process,
                    allowed: `"${context.self}" or empty at this process; call the other process itself`,
                });
            }
            return {
                distributions: context.metrics.readDistributions().map(each => ({
                    ...each,
                    count: BigInt(each.count),
                })),
                counters: context.metrics.readCounters().map(each => ({ ...each, value: BigInt(each.value) })),
            };
        },
    };
    return methods;
}

function sendJson(response: ServerResponse, status: number, value: unknown): void {
    response.writeHead(status, { "content-type": "application/json" }).end(JSON.stringify(value));
}

function handleFallback(request: IncomingMessage, response: ServerResponse, readHealth: () => EntryHealth): void {
    switch (request.url) {
        case "/live":
            sendJson(response, 200, { live: true });
            return;
        case "/ready": {
            const health = readHealth();
            sendJson(response, health.ready ? 200 : 503, health);
            return;
        }
        case undefined:
        default:
            sendJson(response, 404, { code: "not_found", message: "there is no such method; check the service name" });
    }
}

/**
 * Refuses a message whose declared length exceeds the limit. Its bytes are read and discarded first, because closing a
 * connection with unread bytes resets it, and the caller would not get the error.
 */
function rejectOversized(request: IncomingMessage, response: ServerResponse, bytes: number, limitBytes: number): void {
    const message = describeError({ kind: "frameTooLarge", bytes, limitBytes });
    const send = (): void => {
        response.setHeader("connection", "close");
        sendJson(response, 400, { code: "invalid_argument", message });
    };
    if (bytes > drainedBodyLimitBytes) {
        send();
        return;
    }
    request.resume();
    request.once("end", send);
}

function listen(server: Server, host: string, port: number): Effect.Effect<number, ErrorData> {
    return Effect.callback(resume => {
        server.once("error", error =>
            resume(Effect.fail({
                kind: "serviceFailed",
                service: "entry",
                detail: `cannot listen on ${host}:${port}: ${error.message}`,
            })));
        server.listen(port, host, () => resume(Effect.succeed((server.address() as AddressInfo).port)));
    });
}

/** Starts the RPC server; it closes all connections when the scope closes. */
export const startRpcServer = Effect.fnUntraced(function*(context: EntryContext, dependencies: ServerDependencies) {
    const { listen: { rpcHost, rpcPort }, requests } = context.settings;
    const readMaxBytes = Math.ceil(requests.bodyLimitBytes * base64Growth) + envelopeBytes;
    const handleRpc = connectNodeAdapter({
        routes: router => {
            router.service(CallerService, dependencies.caller);
            router.service(TargetService, createTargetService(dependencies));
            router.service(WorkerService, dependencies.forwarded.workerMethods);
            router.service(OperatorService, createOperatorService(context, dependencies));
        },
        readMaxBytes,
        fallback: (request, response) =>
            handleFallback(request as IncomingMessage, response as ServerResponse, dependencies.readHealth),
    });
    let accepting = true;
    // A request counts as ended before its answer is written, so the exit must also wait for open answers.
    let openAnswers = 0;
    const server = createServer(
        {
            headersTimeout: headersTimeoutMs,
            requestTimeout: requestTimeoutMs,
            keepAliveTimeout: keepAliveTimeoutMs,
            noDelay: true,
        },
        (request, response) => {
            if (request.url?.startsWith(callerPath) === true) {
                openAnswers += 1;
                response.once("close", () => {
                    openAnswers -= 1;
                });
            }
            if (!accepting) {
                response.setHeader("connection", "close");
            }
            const declaredBytes = Number(request.headers["content-length"] ?? 0);
            if (declaredBytes > readMaxBytes) {
                rejectOversized(request, response, declaredBytes, readMaxBytes);
                return;
            }
            handleRpc(request, response);
        },
    );
    const port = yield* listen(server, rpcHost, rpcPort);
    const awaitAnswers = (limitMs: number): Effect.Effect<void> =>
        Effect.gen(function*() {
            const endsAtMs = context.readNowMs() + limitMs;
            while (openAnswers > 0 && context.readNowMs() < endsAtMs) {
                yield* Effect.sleep(answerPollMs);
            }
        });
    yield* Effect.addFinalizer(() =>
        Effect.gen(function*() {
            server.close();
            // Callers with open connections may still send and are refused with an error; new callers cannot connect.
            yield* awaitAnswers(accepting ? 0 : lastAnswersLimitMs);
            server.closeAllConnections();
        })
    );
    const rpcServer: RpcServer = {
        awaitAnswers: awaitAnswers(requests.drainLimitMs),
        address: rpcHost.includes(":") ? `[${rpcHost}]:${port}` : `${rpcHost}:${port}`,
        stopAccepting: () => {
            // Idle connections stay open until their next call: if one were closed just when a caller uses it, the
            // caller would not get the refusal.
            accepting = false;
        },
    };
    return rpcServer;
});
