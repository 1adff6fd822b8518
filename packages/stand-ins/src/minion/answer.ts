import { crc32 } from "node:zlib";

/** What a request asks of a stand-in minion; it is the JSON text of the body. */
export interface MinionWork {
    /** Names the request in the records of the minion. */
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

/** Reads the work of a body; a body of another form is its own key, with the default run time and answer. */
export function parseWork(body: Uint8Array, defaultRunMs: number): MinionWork {
    const text = Buffer.from(body).toString("utf8");
    const { key, runMs, answerBytes } = parseJson(text);
    return {
        key: typeof key === "string" ? key : text,
        runMs: typeof runMs === "number" ? runMs : defaultRunMs,
        answerBytes: typeof answerBytes === "number" ? answerBytes : defaultAnswerBytes,
    };
}

/** The body that asks for this work. */
export function buildBody(work: MinionWork): Uint8Array {
    return Buffer.from(JSON.stringify(work));
}

/** The answer to a body: bytes of a linear congruential generator that starts with the CRC-32 of the body. */
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
