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
const scratchFolder = mkdtempSync(join(tmpdir(), "generated-"));
try {
    execFileSync("npx", ["buf", "generate", "--output", scratchFolder], { cwd: "packages/schema", stdio: "inherit" });
    const generated = join(scratchFolder, "src/gen");
    const names = listFiles(generated);
    const stale = names.filter(name => {
        try {
            return readFileSync(join(generated, name), "utf8") !== readFileSync(join(committed, name), "utf8");
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
    rmSync(scratchFolder, { recursive: true });
}
