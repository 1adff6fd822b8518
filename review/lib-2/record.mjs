import { writeFileSync } from "node:fs";

/** Writes the events of a run to `record.txt`: what was sent, answered and run. */
export function createRecord(file) {
    const lines = [];
    const startedMs = performance.now();
    return {
        readMs: () => performance.now() - startedMs,
        write: (kind, fields = {}) => {
            const text = Object.entries(fields).map(([name, value]) => `${name}=${value}`).join(" ");
            lines.push(`${((performance.now() - startedMs) / 1000).toFixed(3).padStart(8)} ${kind} ${text}`);
        },
        save: () => writeFileSync(file, `${lines.join("\n")}\n`),
    };
}
