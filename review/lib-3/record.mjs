// Writes what happened to `record.txt`, and ends a case with the exit code of its result.
import { writeFileSync } from "node:fs";
import { join } from "node:path";

export const hasTrouble = process.env.TROUBLE !== "0";

export function createRecord(folder) {
    const startedAtMs = performance.now();
    const lines = [];
    return {
        write: (what, fields) => {
            lines.push(
                `${((performance.now() - startedAtMs) / 1000).toFixed(3).padStart(8)} ${what} ${
                    JSON.stringify(fields)
                }`,
            );
        },
        save: () => writeFileSync(join(folder, "record.txt"), `${lines.join("\n")}\n`),
        lines,
    };
}

/** Runs a case: exits with 1 if it returns findings, 0 if it returns none, and 2 if it could not run. */
export async function runCase(folder, body) {
    const record = createRecord(folder);
    record.write("disruption", { isOn: hasTrouble });
    const limit = setTimeout(() => {
        record.write("time limit", {});
        record.save();
        process.exit(2);
    }, 115_000);
    let code = 2;
    let close = async () => undefined;
    try {
        const findings = await body(record.write, closing => {
            close = closing;
        });
        findings.forEach(finding => record.write("FINDING", { finding }));
        findings.forEach(finding => console.log(finding));
        code = findings.length > 0 ? 1 : 0;
    }
    catch (error) {
        record.write("could not run", { error: String(error?.stack ?? error) });
        console.log(`could not run: ${error?.stack ?? error}`);
    }
    await close();
    clearTimeout(limit);
    record.write("result", { code });
    record.save();
    process.exit(code);
}
