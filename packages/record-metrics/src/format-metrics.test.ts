import assert from "node:assert/strict";
import { test } from "node:test";
import { createMetrics, formatMetrics } from "./index.js";

test("counters, distributions and gauges are formatted as text, with labels escaped", () => {
    const metrics = createMetrics();
    metrics.countEvent("jobs.accepted", "check \"a\"\n", "ash", 3);
    for (let value = 1; value <= 100; value += 1) {
        metrics.recordDuration("jobMs", "check", "ash", value);
    }
    const text = formatMetrics(metrics, [{ name: "open_jobs", value: 4 }]);
    const lines = text.split("\n");
    assert.equal(lines.at(-1), "");
    assert.ok(
        lines.includes(
            "chestnutspool_events_total{event=\"jobs.accepted\",tenant=\"check \\\"a\\\"\\n\",class=\"ash\"} 3",
        ),
    );
    assert.ok(
        lines.includes(
            "chestnutspool_duration_milliseconds_count{measure=\"jobMs\",tenant=\"check\",class=\"ash\"} 100",
        ),
    );
    const median = lines.find(line => line.includes("quantile=\"0.5\""));
    assert.ok(Math.abs(Number(median?.split(" ").at(-1)) - 50) <= 1, median);
    assert.ok(lines.includes("chestnutspool_open_jobs 4"));
    for (const line of lines.filter(each => each !== "" && !each.startsWith("#"))) {
        assert.match(line, /^[a-z_]+(\{([a-z]+="([^"\\\n]|\\.)*",?)*\})? [0-9.e+-]+$/);
    }
});
