import assert from "node:assert/strict";
import { test } from "node:test";
import { createLineSink, type LineSinkLimits, type WriteBytes } from "./line-sink.js";

const limits: LineSinkLimits = { linesPerSecond: 10, burstLines: 20, bufferLimitBytes: 2_000 };

/** A reader that can be paused and takes at most `chunk` bytes at once. */
function createReader(chunk: number) {
    const reader = {
        text: "",
        isPaused: false,
        pending: undefined as (() => void) | undefined,
        error: undefined as Error | undefined,
    };
    const writeBytes: WriteBytes = (bytes, callback) => {
        const take = (): void => {
            if (reader.error !== undefined) {
                callback(reader.error, 0);
                return;
            }
            const part = bytes.subarray(0, chunk);
            reader.text += part.toString("utf8");
            callback(undefined, part.length);
        };
        if (reader.isPaused) {
            reader.pending = take;
        }
        else {
            setImmediate(take);
        }
    };
    return { reader, writeBytes };
}

test("lines arrive complete and in order when each write takes only a few bytes", async () => {
    const { reader, writeBytes } = createReader(3);
    const sink = createLineSink(writeBytes, limits);
    ["first", "second", "dritte Zeile: ü"].forEach(line => sink.writeLine(line, "info", 0));
    await sink.flushLines(1_000);
    assert.equal(reader.text, "first\nsecond\ndritte Zeile: ü\n");
    assert.equal(sink.countDropped(), 0);
});

test("lines above the rate limit are dropped and counted, but warnings are written", async () => {
    const { reader, writeBytes } = createReader(10_000);
    const sink = createLineSink(writeBytes, limits);
    for (let index = 0; index < 50; index += 1) {
        sink.writeLine(`line ${index}`, "info", 1_000);
    }
    assert.equal(sink.countDropped(), 30);
    sink.writeLine("important", "warn", 1_000);
    sink.writeLine("later", "info", 3_000);
    await sink.flushLines(1_000);
    const lines = reader.text.trim().split("\n");
    assert.equal(lines.length, 23);
    assert.equal(lines[20]?.includes("\"lines\":30"), true);
    assert.deepEqual(lines.slice(21), ["important", "later"]);
});

test("a paused reader does not block, and the bytes buffered for it are bounded", async () => {
    const { reader, writeBytes } = createReader(100_000);
    reader.isPaused = true;
    const sink = createLineSink(writeBytes, { ...limits, burstLines: 100_000 });
    const line = "x".repeat(99);
    sink.writeLine(line, "info", 0);
    await new Promise(resolve => setImmediate(resolve));
    for (let index = 0; index < 1_000; index += 1) {
        sink.writeLine(line, "info", 0);
    }
    for (let index = 0; index < 1_000; index += 1) {
        sink.writeLine(line, "error", 0);
    }
    const written = 2_001 - sink.countDropped();
    assert.ok(written > 0 && written * 100 <= limits.bufferLimitBytes, `${written} lines were taken`);
    await sink.flushLines(10);
    reader.isPaused = false;
    reader.pending?.();
    await sink.flushLines(1_000);
    sink.writeLine("after", "info", 5_000);
    await sink.flushLines(1_000);
    const notices = [...reader.text.matchAll(/"lines":(\d+)/g)].map(match => Number(match[1]));
    assert.equal(notices.reduce((sum, count) => sum + count, 0), sink.countDropped());
    assert.equal(reader.text.split("\n").filter(each => each === line).length, written);
    assert.ok(reader.text.endsWith("\nafter\n"));
});

test("a write to a full pipe is retried, and a closed pipe ends the output without an exception", async () => {
    const { reader, writeBytes } = createReader(100_000);
    const sink = createLineSink(writeBytes, limits);
    reader.error = Object.assign(new Error("busy"), { code: "EAGAIN" });
    sink.writeLine("first", "info", 0);
    await sink.flushLines(5);
    reader.error = undefined;
    await sink.flushLines(1_000);
    assert.equal(reader.text, "first\n");
    reader.error = Object.assign(new Error("closed"), { code: "EPIPE" });
    sink.writeLine("second", "info", 0);
    await sink.flushLines(1_000);
    sink.writeLine("third", "info", 0);
    assert.equal(sink.countDropped(), 1);
});

for (const code of ["ENOSPC", "EIO", "EDQUOT"]) {
    // Guards against a process that logs nothing more after one write error that passes, as on a full disk.
    test(`lines are written again after a write has failed with ${code}, and the lost ones are counted`, async () => {
        const { reader, writeBytes } = createReader(100_000);
        const sink = createLineSink(writeBytes, limits);
        reader.error = Object.assign(new Error("passing"), { code });
        sink.writeLine("first", "info", 0);
        sink.writeLine("second", "info", 0);
        await sink.flushLines(1_000);
        assert.equal(sink.countDropped(), 2);
        reader.error = undefined;
        sink.writeLine("third", "info", 0);
        await sink.flushLines(5_000);
        const lines = reader.text.trim().split("\n");
        assert.equal(lines.length, 2);
        assert.ok(lines[0]?.includes("\"lines\":2"));
        assert.equal(lines[1], "third");
    });
}

// Guards against a line that cannot be parsed because the rest of another one was lost before it.
test("a line of which only a part was written ends before the next line, and counts as dropped", async () => {
    let text = "";
    let attempts = 0;
    const sink = createLineSink((bytes, callback) => {
        attempts += 1;
        const attempt = attempts;
        setImmediate(() => {
            if (attempt === 2 || attempt === 3) {
                callback(Object.assign(new Error("full"), { code: "ENOSPC" }), 0);
                return;
            }
            const part = attempt === 1 ? bytes.subarray(0, 8) : bytes;
            text += part.toString("utf8");
            callback(undefined, part.length);
        });
    }, limits);
    sink.writeLine("first", "info", 0);
    sink.writeLine("second", "info", 0);
    await sink.flushLines(5_000);
    assert.equal(text, "first\nse");
    assert.equal(sink.countDropped(), 1);
    sink.writeLine("third", "info", 100);
    await sink.flushLines(5_000);
    // The notice about the second line is lost with the third one.
    sink.writeLine("fourth", "info", 2_000);
    await sink.flushLines(5_000);
    const lines = text.trim().split("\n");
    assert.deepEqual([lines[0], lines[1], lines[3]], ["first", "se", "fourth"]);
    assert.ok(lines[2]?.includes(`"lines":${sink.countDropped()},"since":0`));
});

// Guards against an output that fails for long and is tried for each line, and against lines that pile up meanwhile.
test("an output that fails is tried at intervals, and the lines that wait for it are bounded", async () => {
    let attempts = 0;
    let largest = 0;
    const sink = createLineSink((bytes, callback) => {
        attempts += 1;
        largest = Math.max(largest, bytes.length);
        setImmediate(() => callback(Object.assign(new Error("full"), { code: "ENOSPC" }), 0));
    }, limits);
    const line = "x".repeat(99);
    for (let turn = 0; turn < 100; turn += 1) {
        for (let index = 0; index < 10; index += 1) {
            sink.writeLine(line, "error", turn);
        }
        await new Promise(resolve => setImmediate(resolve));
    }
    assert.ok(attempts >= 1 && attempts < 50, `${attempts} attempts`);
    assert.ok(largest <= limits.bufferLimitBytes + 500, `${largest} bytes in one write`);
    await sink.flushLines(5_000);
    assert.ok(sink.countDropped() >= 1_000);
});
