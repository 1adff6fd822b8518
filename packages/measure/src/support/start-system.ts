import {
    awaitCondition,
    type ProcessGroup,
    startProcessGroup,
    startTestTargets,
    type TestTargets,
} from "@chestnutspool/cli/fakes";
import { CallerService, OperatorService, RequestClass } from "@chestnutspool/schema";
import { type Client, createClient } from "@connectrpc/connect";
import { createConnectTransport } from "@connectrpc/connect-node";
import { Agent } from "node:http";

/** Service to which the measurements send requests. */
export const measuredService = "stock-check";
export const measuredTenant = "hakata";
const deadlineMs = 10_000;
const maxRunMs = 2_000;

/** Clients of one entry host; they keep connections open, as callers do. */
export interface SystemClients {
    readonly caller: Client<typeof CallerService>;
    readonly operator: Client<typeof OperatorService>;
}

/** A running system of separate processes with stand-in targets. */
export interface MeasuredSystem {
    readonly group: ProcessGroup;
    readonly targets: TestTargets;
    readonly clients: readonly SystemClients[];
    readonly close: () => Promise<void>;
}

/** Creates the clients of an entry host. */
export function createSystemClients(address: string): SystemClients {
    const agent = new Agent({ keepAlive: true, maxSockets: 512 });
    const transport = createConnectTransport({
        baseUrl: `http://${address}`,
        httpVersion: "1.1",
        nodeOptions: { agent },
    });
    return { caller: createClient(CallerService, transport), operator: createClient(OperatorService, transport) };
}

async function applyTenantAndService(operator: Client<typeof OperatorService>): Promise<void> {
    await operator.applyTenant({
        operatorRequestId: "measure-tenant",
        tenant: { id: measuredTenant, quota: { milliCpu: 1_000_000, memoryMib: 1_000_000, accelerators: 16 } },
    });
    await operator.applyWork({
        operatorRequestId: "measure-service",
        work: {
            name: measuredService,
            tenant: measuredTenant,
            resources: { milliCpu: 1_000, memoryMib: 512 },
            kind: { case: "service", value: { maxRunMs } },
        },
    });
}

/** Starts 3 control processes, entry processes and stand-in targets; waits until every entry host serves requests. */
export async function startMeasuredSystem(entries: number, minions: number, workers = 0): Promise<MeasuredSystem> {
    const group = await startProcessGroup({ controls: 3, entries });
    const addresses = group.entries.map(entry => entry.rpcAddress);
    const clients = addresses.map(createSystemClients);
    const first = clients[0]!;
    await awaitCondition("a control leader", () => applyTenantAndService(first.operator).then(() => true, () => false));
    const targets = await startTestTargets(addresses, measuredService, minions, workers);
    for (const { caller } of clients) {
        await awaitCondition("an answer", () => sendRequest(caller, { runMs: 0 }).then(() => true, () => false));
    }
    const close = async (): Promise<void> => {
        await targets.close();
        await group.close();
    };
    return { group, targets, clients, close };
}

/** Parameters of a measured request. */
export interface MeasuredRequest {
    /** Absent when the entry host creates the id. */
    readonly requestId?: string;
    readonly idempotent?: boolean;
    readonly runMs: number;
    readonly answerBytes?: number;
}

/** Creates the request body that a stand-in minion reads. */
export function createBody(request: MeasuredRequest): Uint8Array {
    const key = request.requestId ?? "measure";
    return Buffer.from(JSON.stringify({ key, runMs: request.runMs, answerBytes: request.answerBytes ?? 64 }));
}

/** Sends one urgent request and waits for its answer. */
export async function sendRequest(caller: Client<typeof CallerService>, request: MeasuredRequest): Promise<Uint8Array> {
    const response = await caller.submit({
        tenant: measuredTenant,
        service: measuredService,
        class: RequestClass.URGENT,
        deadlineMs,
        idempotent: request.idempotent ?? true,
        requestId: request.requestId ?? "",
        body: createBody(request),
    });
    return response.answer;
}
