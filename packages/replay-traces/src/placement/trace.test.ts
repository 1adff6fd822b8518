import assert from "node:assert/strict";
import { test } from "node:test";
import { createFirstFitPlacer } from "./baselines.js";
import { buildPlacementTraces, formatTrace } from "./generate-traces.js";
import { loadPlacementTrace, placementTraceNames } from "./load-trace.js";
import { replayPlacementTrace } from "./replay-trace.js";
import { parseTrace } from "./trace.js";

void test("the recorded traces match the output of the generator", () => {
    const traces = buildPlacementTraces();
    assert.deepEqual(traces.map(trace => trace.head.name), [...placementTraceNames]);
    for (const trace of traces) {
        const recorded = loadPlacementTrace(trace.head.name).unsafeCoerce();
        assert.equal(formatTrace(recorded), formatTrace(parseTrace(formatTrace(trace)).unsafeCoerce()));
    }
});

void test("a damaged trace is rejected with the number of the line", () => {
    const [trace] = buildPlacementTraces();
    assert.ok(trace !== undefined);
    const text = formatTrace(trace);
    const lines = text.split("\n");
    for (
        const [damaged, field] of [
            [[lines[0], "{\"kind\":", ...lines.slice(1)].join("\n"), "line 2 of the trace"],
            [`${lines[0]}\n{"kind":"other"}\n`, "line 2 of the trace"],
            [lines.slice(1).join("\n"), "trace"],
            ["", "trace"],
        ] as const
    ) {
        const error = parseTrace(damaged).swap().unsafeCoerce();
        assert.ok(error.kind === "invalidArgument" && error.field === field, JSON.stringify(error));
    }
});

void test("the same trace gives the same outcome", () => {
    const trace = loadPlacementTrace("bad-worker").unsafeCoerce();
    assert.deepEqual(
        replayPlacementTrace(trace, createFirstFitPlacer()),
        replayPlacementTrace(trace, createFirstFitPlacer()),
    );
});
