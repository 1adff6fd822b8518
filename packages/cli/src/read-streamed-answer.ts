import type { SubmitChunk } from "@chestnutspool/schema";
import { Code, ConnectError } from "@connectrpc/connect";
import { crc32 } from "node:zlib";

/** An answer with its request id, status and minion. */
export interface StreamedAnswer {
    readonly requestId: string;
    readonly status: number;
    readonly minion: string;
    readonly answer: Uint8Array;
}

/**
 * Reads a streamed answer. Throws a ConnectError with code `DataLoss` when its length or CRC-32 differs from that of the
 * last message, or when the stream ends before that message.
 */
export async function readStreamedAnswer(chunks: AsyncIterable<SubmitChunk>): Promise<StreamedAnswer> {
    let head = { requestId: "", status: 0, minion: "" };
    const parts: Uint8Array[] = [];
    for await (const { part } of chunks) {
        switch (part.case) {
            case "head":
                head = { requestId: part.value.requestId, status: part.value.status, minion: part.value.minion };
                break;
            case "data":
                parts.push(part.value);
                break;
            case "end": {
                const answer = Buffer.concat(parts);
                if (BigInt(answer.length) !== part.value.lengthBytes || crc32(answer) !== part.value.crc32) {
                    throw new ConnectError(
                        "the length or CRC-32 of the answer differs from that of its last message; send again",
                        Code.DataLoss,
                    );
                }
                return { ...head, answer };
            }
            case undefined:
                break;
        }
    }
    throw new ConnectError(
        "the stream of the answer ended before its last message; send again with the same id",
        Code.DataLoss,
    );
}
