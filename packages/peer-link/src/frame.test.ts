import fc from "fast-check";
import { Packr } from "msgpackr";
import assert from "node:assert/strict";
import { test } from "node:test";
import { decodeFrame, encodeFrame, type Frame } from "./frame.js";

const seed = 20_261_204;

/** Values as JSON text holds them, which knows no -0, without the key `__proto__`, which the decoder renames. */
const plainJson = fc.jsonValue()
    .map((value): unknown => JSON.parse(JSON.stringify(value)))
    .filter(value => !JSON.stringify(value).includes("__proto__"));

/** Values of frames: text, numbers, lists and nested objects, some of which share their shape. */
const bodies = fc.array(fc.oneof(
    fc.record({ job: fc.string(), position: fc.nat(), checkpoint: fc.string() }, { noNullPrototype: true }),
    plainJson,
));

function makeFrame(body: unknown): Frame {
    return { kind: "message", channel: "jobs", body };
}

// Guards against frames that a process of this build or of an earlier one cannot read.
test("frames are decoded as they were encoded, with and without shared field names", () => {
    const earlier = new Packr({ useRecords: false, moreTypes: false, encodeUndefinedAsNil: false });
    fc.assert(
        fc.property(bodies, body => {
            const frame = makeFrame(body);
            assert.deepEqual(decodeFrame(encodeFrame(frame)), frame);
            assert.deepEqual(decodeFrame(earlier.pack(frame)), frame);
            assert.deepEqual(earlier.unpack(encodeFrame(frame)), frame);
        }),
        { seed, numRuns: 300 },
    );
});

// Guards against a malformed frame that throws, which would end the process, or that spoils the frames after it.
test("malformed frames are not decoded and leave the next frame as it is", () => {
    fc.assert(
        fc.property(bodies, fc.uint8Array({ maxLength: 300 }), fc.nat(), fc.nat(255), (body, garbage, place, byte) => {
            const frame = makeFrame(body);
            const bytes = encodeFrame(frame);
            const changed = Uint8Array.from(bytes);
            changed[place % bytes.length] = byte;
            for (const malformed of [garbage, bytes.subarray(0, place % bytes.length), changed]) {
                assert.doesNotThrow(() => decodeFrame(malformed));
            }
            assert.deepEqual(decodeFrame(encodeFrame(frame)), frame);
        }),
        { seed, numRuns: 1_000 },
    );
});

// Guards against reports whose size grows by the names of all fields with each run that they list.
test("the names of the fields are sent once for all runs of a report", () => {
    const makeRun = (position: number) => ({
        job: "5c0e7a21d94b36f8",
        position,
        progressPercent: 40,
        lastReading: 1_200,
    });
    const size = encodeFrame(makeFrame([...Array(100).keys()].map(makeRun))).length;
    // 16 digits and three numbers are 24 bytes of values and their types.
    assert.ok(size < 100 * 30 + 200, `${size}`);
});
