import type { EntryReply, ErrorData } from "@chestnutspool/types";
import { Effect } from "effect";
import { crc32 } from "node:zlib";
import { keptAnswerLimitBytes } from "./dispatch-attempt.js";

/** An answer whose length and checksum match those in its `answerEnd`. */
export interface VerifiedAnswer {
    readonly status: number;
    readonly lengthBytes: number;
    readonly crc32: number;
    /** The whole answer when it is small enough to be recorded; undefined otherwise. */
    readonly kept: Uint8Array | undefined;
}

/** Checks the order, length and checksum of an answer that arrives in parts. */
export interface AnswerCheck {
    /** Adds the next part; fails when it is out of order or when the length or checksum does not match. */
    readonly addReply: (reply: EntryReply) => Effect.Effect<void, ErrorData>;
    readonly hasBegun: () => boolean;
    /** The answer once its `answerEnd` has been added; undefined before. */
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
    let isComplete = false;
    const createTruncatedError = (): ErrorData => ({
        kind: "answerTruncated",
        expectedBytes,
        receivedBytes: lengthBytes,
    });
    const rejectUnexpectedPart = (kind: string): Effect.Effect<void, ErrorData> =>
        Effect.fail({ kind: "internal", detail: `unexpected part ${kind} of an answer` });

    const takeReply = (reply: EntryReply): Effect.Effect<void, ErrorData> => {
        switch (reply.kind) {
            case "answerHead":
                if (status !== undefined) {
                    return rejectUnexpectedPart(reply.kind);
                }
                status = reply.status;
                return Effect.void;
            case "answerChunk":
                if (status === undefined || isComplete) {
                    return rejectUnexpectedPart(reply.kind);
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
                isComplete = true;
                return Effect.void;
            case "error":
                return Effect.fail(reply.error);
            case "announced":
            case "accepted":
                return rejectUnexpectedPart(reply.kind);
        }
    };

    return {
        addReply: takeReply,
        hasBegun: () => status !== undefined,
        readVerified: () =>
            status === undefined || !isComplete ? undefined : {
                status,
                lengthBytes,
                crc32: checksum,
                kept: lengthBytes <= keptAnswerLimitBytes ? Buffer.concat(kept) : undefined,
            },
        createTruncatedError,
    };
}
