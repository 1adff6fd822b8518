// Formats the sources with dprint's TypeScript plugin; with --check it only reports. The dprint program itself is not
// used, because its packages for other platforms are not on every registry, which makes `npm ci` fail.
import { createContext } from "@dprint/formatter";
import { getPath } from "@dprint/typescript";
import { readdirSync, readFileSync, writeFileSync } from "node:fs";
import { join } from "node:path";

const settings = JSON.parse(readFileSync("dprint.json", "utf8"));
const { typescript, ...globalSettings } = settings;
const context = createContext(globalSettings);
context.addPlugin(readFileSync(getPath()), typescript);

function listSources(folder) {
    return readdirSync(folder, { withFileTypes: true }).flatMap(entry => {
        const path = join(folder, entry.name);
        if (entry.isDirectory()) {
            return ["node_modules", "dist", "gen", ".git", "target", "journal"].includes(entry.name)
                ? []
                : listSources(path);
        }
        return /\.(ts|mjs)$/.test(entry.name) ? [path] : [];
    });
}

const diagnostics = context.getConfigDiagnostics();
if (diagnostics.length > 0) {
    console.error(diagnostics);
    process.exit(1);
}
const check = process.argv.includes("--check");
const unformatted = [];
for (const path of listSources(".")) {
    const text = readFileSync(path, "utf8");
    const formatted = context.formatText({ filePath: path, fileText: text });
    if (formatted !== text) {
        unformatted.push(path);
        if (!check) {
            writeFileSync(path, formatted);
        }
    }
}
if (check && unformatted.length > 0) {
    console.error(`not formatted: ${unformatted.join(", ")}; run npm run format`);
    process.exit(1);
}
