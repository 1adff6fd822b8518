import type { ErrorData } from "@chestnutspool/types";
import { type Either, Left, Right } from "purify-ts";

/** Checksum and length by which the bodies of two requests are compared. */
export interface BodyFingerprint {
    readonly crc32: number;
    readonly length: number;
}

/** A request that prevents another run of its key. */
export interface RegisteredRequest {
    readonly key: string;
    readonly shard: number;
    /** Undefined for a request that another host handed over; its body is not known here. */
    readonly body: BodyFingerprint | undefined;
    /** Monotonic time at which an attempt that was given up has certainly ended; undefined while it is served here. */
    readonly heldUntilMs: number | undefined;
    /** Attempt that may still run, by which the confirmation of its end finds the request. */
    readonly heldAttempt: string | undefined;
}

/** Requests of the shards that this host coordinates, by key: at most one run of a key at a time. */
export interface RequestRegistry {
    /** Registers a request, or fails with `stillRunning` or `requestIdReused`. */
    readonly registerRequest: (
        key: string,
        shard: number,
        body: BodyFingerprint,
        nowMs: number,
    ) => Either<ErrorData, void>;
    /** Keeps the key of a request that is no longer served, because its attempt may still run. */
    readonly holdRequest: (key: string, attempt: string, untilMs: number) => void;
    /** Adds a request that the last coordinator handed over. */
    readonly addHandedOverRequest: (key: string, shard: number, attempt: string, untilMs: number) => void;
    /** Removes the request whose held attempt has certainly ended. */
    readonly confirmEnd: (attempt: string) => void;
    readonly forgetRequest: (key: string) => void;
    readonly findRequest: (key: string, nowMs: number) => RegisteredRequest | undefined;
    readonly countRequests: () => number;
}

/** Retry-after time for a resend of a request that is being served, in milliseconds. */
const servedRetryAfterMs = 100;
/**
 * Longest retry-after time for a held key, in milliseconds; the next announcement of the minion often ends the hold.
 */
const heldRetryAfterMs = 1_000;

function parseRequestId(key: string): string {
    const tenantLength = Number(key.slice(0, key.indexOf(":")));
    return key.slice(key.indexOf(":") + tenantLength + 2);
}

/** Creates an empty registry. */
export function createRequestRegistry(): RequestRegistry {
    const requests = new Map<string, RegisteredRequest>();
    const keyByAttempt = new Map<string, string>();

    const forgetRequest = (key: string): void => {
        const known = requests.get(key);
        if (known?.heldAttempt !== undefined) {
            keyByAttempt.delete(known.heldAttempt);
        }
        requests.delete(key);
    };

    const findRequest = (key: string, nowMs: number): RegisteredRequest | undefined => {
        const known = requests.get(key);
        if (known?.heldUntilMs !== undefined && known.heldUntilMs <= nowMs) {
            forgetRequest(key);
            return undefined;
        }
        return known;
    };

    /** Removes expired holds periodically, so that keys that are never resent do not accumulate. */
    let nextSweepAtMs = 0;
    const sweepIntervalMs = 1_000;
    const dropExpired = (nowMs: number): void => {
        if (nowMs < nextSweepAtMs) {
            return;
        }
        nextSweepAtMs = nowMs + sweepIntervalMs;
        for (const key of [...requests.keys()]) {
            findRequest(key, nowMs);
        }
    };

    const setHold = (request: RegisteredRequest, attempt: string): void => {
        forgetRequest(request.key);
        requests.set(request.key, request);
        keyByAttempt.set(attempt, request.key);
    };

    return {
        registerRequest: (key, shard, body, nowMs) => {
            dropExpired(nowMs);
            const known = findRequest(key, nowMs);
            if (known === undefined) {
                requests.set(key, { key, shard, body, heldUntilMs: undefined, heldAttempt: undefined });
                return Right(undefined);
            }
            const requestId = parseRequestId(key);
            if (known.body !== undefined && (known.body.crc32 !== body.crc32 || known.body.length !== body.length)) {
                return Left({ kind: "requestIdReused", requestId });
            }
            const retryAfterMs = known.heldUntilMs === undefined
                ? servedRetryAfterMs
                : Math.min(heldRetryAfterMs, Math.ceil(known.heldUntilMs - nowMs));
            return Left({ kind: "stillRunning", requestId, retryAfterMs });
        },
        holdRequest: (key, attempt, untilMs) => {
            const known = requests.get(key);
            if (known !== undefined) {
                setHold({ ...known, heldUntilMs: untilMs, heldAttempt: attempt }, attempt);
            }
        },
        addHandedOverRequest: (key, shard, attempt, untilMs) => {
            if (!requests.has(key)) {
                setHold({ key, shard, body: undefined, heldUntilMs: untilMs, heldAttempt: attempt }, attempt);
            }
        },
        confirmEnd: attempt => {
            const key = keyByAttempt.get(attempt);
            if (key !== undefined) {
                forgetRequest(key);
            }
        },
        forgetRequest,
        findRequest,
        countRequests: () => requests.size,
    };
}
