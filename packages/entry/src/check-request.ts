import { type AnnounceRequest, RequestClass, type SubmitRequest } from "@chestnutspool/schema";
import type { ErrorData, MinionAnnouncement, RequestEnvelope } from "@chestnutspool/types";
import { isIP } from "node:net";
import { type Either, Left, Right } from "purify-ts";

/** Longest id of a request, tenant, service, minion or incarnation, in characters. */
const idLengthLimit = 128;
const deadlineLimitMs = 600_000;
const slotLimit = 1_024;
const connectionLimit = 65_535;
const portLimit = 65_535;
/** Ids are sent in HTTP headers, so they consist of printable ASCII without spaces. */
const idPattern = /^[\x21-\x7e]+$/;
/** Limit of attempts listed in one announcement; a minion has fewer slots. */
const runningAttemptsLimit = 4_096;

/** Characters of an invalid value that an error repeats. */
const shownValueLimit = 40;

function createInvalidArgument(field: string, seen: string | number, allowed: string): Either<ErrorData, never> {
    const text = String(seen);
    const shown = text.length > shownValueLimit ? `${text.slice(0, shownValueLimit)}...` : text;
    return Left({ kind: "invalidArgument", field, seen: shown === "" ? "empty" : shown, allowed });
}

function checkId(field: string, value: string): Either<ErrorData, string> {
    return value.length > idLengthLimit || !idPattern.test(value)
        ? createInvalidArgument(field, value, `1 to ${idLengthLimit} printable ASCII characters without spaces`)
        : Right(value);
}

function checkNumber(field: string, value: number, limit: number): Either<ErrorData, number> {
    return Number.isInteger(value) && value >= 1 && value <= limit
        ? Right(value)
        : createInvalidArgument(field, value, `a whole number from 1 to ${limit}`);
}

function checkBody(body: Uint8Array, limitBytes: number): Either<ErrorData, Uint8Array> {
    return body.length > limitBytes
        ? createInvalidArgument("body", `${body.length} bytes`, `at most ${limitBytes} bytes`)
        : Right(body);
}

function checkRequestId(request: SubmitRequest): Either<ErrorData, string> {
    if (request.requestId === "") {
        return request.idempotent
            ? Right("")
            : createInvalidArgument("request_id", "", "an id, because the request is not idempotent");
    }
    return checkId("request_id", request.requestId);
}

function checkClass(value: RequestClass): Either<ErrorData, "urgent" | "standard"> {
    if (value === RequestClass.URGENT) {
        return Right("urgent");
    }
    // Protocol Buffers pass on request classes that the schema does not define.
    return value === RequestClass.STANDARD || value === RequestClass.UNSPECIFIED
        ? Right("standard")
        : createInvalidArgument("class", value, "0 (unspecified), 1 (urgent) or 2 (standard)");
}

/** Checks a request of a caller; the request id stays empty when the caller gave none. */
export function checkSubmit(request: SubmitRequest, bodyLimitBytes: number): Either<ErrorData, RequestEnvelope> {
    return checkId("tenant", request.tenant)
        .chain(() => checkId("service", request.service))
        .chain(() => checkNumber("deadline_ms", request.deadlineMs, deadlineLimitMs))
        .chain(() => checkRequestId(request))
        .chain(() => checkBody(request.body, bodyLimitBytes))
        .chain(() => checkClass(request.class))
        .map(requestClass => ({
            tenant: request.tenant,
            service: request.service,
            class: requestClass,
            requestId: request.requestId,
            callerSuppliedId: request.requestId !== "",
            idempotent: request.idempotent,
            deadlineLeftMs: request.deadlineMs,
            body: request.body,
        }));
}

function checkAddress(address: string): Either<ErrorData, string> {
    const separator = address.lastIndexOf(":");
    const host = address.slice(0, Math.max(0, separator)).replace(/^\[|\]$/g, "");
    const port = Number(address.slice(separator + 1));
    return isIP(host) !== 0 && Number.isInteger(port) && port >= 1 && port <= portLimit
        ? Right(address)
        : createInvalidArgument("address", address, "an IP number and a port, for example 10.0.0.7:8080");
}

function checkRunning(attempts: readonly string[]): Either<ErrorData, readonly string[]> {
    return attempts.length > runningAttemptsLimit
        ? createInvalidArgument("running_attempts", `${attempts.length} attempts`, `at most ${runningAttemptsLimit}`)
        : Right(attempts);
}

function checkSafe(field: string, value: bigint): Either<ErrorData, number> {
    return value >= 0n && value < BigInt(Number.MAX_SAFE_INTEGER)
        ? Right(Number(value))
        : createInvalidArgument(field, value.toString(), `a whole number below ${Number.MAX_SAFE_INTEGER}`);
}

/** Checks an announcement of a minion. */
export function checkAnnouncement(request: AnnounceRequest): Either<ErrorData, MinionAnnouncement> {
    return checkId("minion", request.minion)
        .chain(() => checkId("service", request.service))
        .chain(() => checkAddress(request.address))
        .chain(() => checkNumber("slots", request.slots, slotLimit))
        .chain(() => checkNumber("connections", request.connections, connectionLimit))
        .chain(() => checkId("incarnation", request.incarnation))
        .chain(() => checkRunning(request.runningAttempts))
        .chain(() => checkSafe("sequence", request.sequence))
        .chain(sequence =>
            checkSafe("highest_epoch", request.highestEpoch).map(highestEpoch => ({
                minion: {
                    id: request.minion,
                    service: request.service,
                    address: request.address,
                    availabilityZone: request.availabilityZone,
                    slots: request.slots,
                    connections: request.connections,
                },
                leaving: false,
                runningAttempts: request.runningAttempts,
                highestEpoch,
                sequence,
                incarnation: request.incarnation,
            }))
        );
}
