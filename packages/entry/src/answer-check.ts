import type { EntryReply, ErrorData } from "@chestnutspool/types";
import { Effect } from "effect";
import { crc32 } from "node:zlib";
import { keptAnswerLimitBytes } from "./dispatch-attempt.js";

/** An answer whose length and checksum were confirmed by its last message. */
export interface VerifiedAnswer {
    readonly status: number;
    readonly lengthBytes: number;
    readonly crc32: number;
    /** The whole answer when it is small enough to be recorded; undefined otherwise. */
    readonly kept: Uint8Array | undefined;
}

/** Checks an answer that arrives in parts. */
export interface AnswerCheck {
    /** Takes the next part; fails when it is out of place or does not match the length or checksum. */
    readonly takeReply: (reply: EntryReply) => Effect.Effect<void, ErrorData>;
    readonly hasBegun: () => boolean;
    /** The answer once its last message was taken; undefined before. */
    readonly readVerified: () => VerifiedAnswer | undefined;
    readonly createTruncatedError: () => ErrorData;
}

/** Creates the check of one answer. */
export function createAnswerCheck(): AnswerCheck {
    let status: number | undefined;
    let lengthBytes = 0;
    let checksum = 0;
    let kept: Uint8Array[] = [];
    let expectedBytes = 0;
    let isWhole = false;
    const createTruncatedError = (): ErrorData => ({
        kind: "answerTruncated",
        expectedBytes,
        receivedBytes: lengthBytes,
    });
    const rejectPart = (kind: string): Effect.Effect<void, ErrorData> =>
        Effect.fail({ kind: "internal", detail: `part ${kind} of an answer is out of place` });

    const takeReply = (reply: EntryReply): Effect.Effect<void, ErrorData> => {
        switch (reply.kind) {
            case "answerHead":
                if (status !== undefined) {
                    return rejectPart(reply.kind);
                }
                status = reply.status;
                return Effect.void;
            case "answerChunk":
                if (status === undefined || isWhole) {
                    return rejectPart(reply.kind);
                }
                lengthBytes += reply.bytes.length;
                checksum = crc32(reply.bytes, checksum);
                kept = lengthBytes <= keptAnswerLimitBytes ? [...kept, reply.bytes] : [];
                return Effect.void;
            case "answerEnd":
                expectedBytes = reply.lengthBytes;
                if (status === undefined || reply.lengthBytes !== lengthBytes || reply.crc32 !== checksum) {
                    return Effect.fail(createTruncatedError());
                }
                isWhole = true;
                return Effect.void;
            case "error":
                return Effect.fail(reply.error);
            case "announced":
            case "accepted":
                return rejectPart(reply.kind);
        }
    };

    return {
        takeReply,
        hasBegun: () => status !== undefined,
        readVerified: () =>
            status === undefined || !isWhole ? undefined : {
                status,
                lengthBytes,
                crc32: checksum,
                kept: lengthBytes <= keptAnswerLimitBytes ? Buffer.concat(kept) : undefined,
            },
        createTruncatedError,
    };
}
