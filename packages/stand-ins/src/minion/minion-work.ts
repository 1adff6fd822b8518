import { crc32 } from "node:zlib";

/** Work that a request asks of a stand-in minion; the body of the request is its JSON text. */
export interface MinionWork {
    /** Identifies the request in the records of the minion. */
    readonly key: string;
    /** Run time in milliseconds at speed 1. */
    readonly runMs: number;
    /** Length of the answer in bytes. */
    readonly answerBytes: number;
}

const defaultAnswerBytes = 64;

function parseJson(text: string): Partial<Record<keyof MinionWork, unknown>> {
    try {
        const value: unknown = JSON.parse(text);
        return typeof value === "object" && value !== null ? value : {};
    }
    catch {
        return {};
    }
}

/** Parses the work of a body. A key that is missing is replaced by the whole text, other fields by their defaults. */
export function parseWork(body: Uint8Array, defaultRunMs: number): MinionWork {
    const text = Buffer.from(body).toString("utf8");
    const { key, runMs, answerBytes } = parseJson(text);
    return {
        key: typeof key === "string" ? key : text,
        runMs: typeof runMs === "number" ? runMs : defaultRunMs,
        answerBytes: typeof answerBytes === "number" ? answerBytes : defaultAnswerBytes,
    };
}

/** Builds the body of a request for this work. */
export function buildBody(work: MinionWork): Uint8Array {
    return Buffer.from(JSON.stringify(work));
}

/** Builds the answer to a body: bytes of a linear congruential generator whose seed is the CRC-32 of the body. */
export function buildAnswer(body: Uint8Array): Uint8Array {
    const { answerBytes } = parseWork(body, 0);
    const answer = Buffer.alloc(answerBytes);
    let state = crc32(body);
    for (let index = 0; index < answerBytes; index += 1) {
        state = (Math.imul(state, 1_664_525) + 1_013_904_223) >>> 0;
        answer[index] = state >>> 24;
    }
    return answer;
}
