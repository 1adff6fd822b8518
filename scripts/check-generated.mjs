// Fails when the generated code of the schema does not match the .proto files.
import { execFileSync } from "node:child_process";
import { mkdtempSync, readdirSync, readFileSync, rmSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";

function listFiles(folder) {
    return readdirSync(folder, { recursive: true, withFileTypes: true })
        .filter(entry => entry.isFile())
        .map(entry => join(entry.parentPath, entry.name).slice(folder.length + 1))
        .sort();
}

const committed = "packages/schema/src/gen";
const scratch = mkdtempSync(join(tmpdir(), "generated-"));
try {
    execFileSync("npx", ["buf", "generate", "--output", scratch], { cwd: "packages/schema", stdio: "inherit" });
    const fresh = join(scratch, "src/gen");
    const names = listFiles(fresh);
    const stale = names.filter(name => {
        try {
            return readFileSync(join(fresh, name), "utf8") !== readFileSync(join(committed, name), "utf8");
        }
        catch {
            return true;
        }
    });
    const extra = listFiles(committed).filter(name => !names.includes(name));
    if (stale.length + extra.length > 0) {
        console.error(
            `generated code is out of date: ${[...stale, ...extra].join(", ")}; run buf generate in packages/schema`,
        );
        process.exit(1);
    }
}
finally {
    rmSync(scratch, { recursive: true });
}
