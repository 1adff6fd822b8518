// Writes the placement traces: node packages/replay-traces/dist/placement/write-traces.js FOLDER
import { mkdirSync, writeFileSync } from "node:fs";
import { join } from "node:path";
import { buildPlacementTraces, formatTrace } from "./generate-traces.js";

const folder = process.argv[2];
if (folder === undefined) {
    console.error("usage: write-traces FOLDER");
    process.exit(2);
}
mkdirSync(folder, { recursive: true });
for (const trace of buildPlacementTraces()) {
    writeFileSync(join(folder, `placement-${trace.head.name}.jsonl`), formatTrace(trace));
}
