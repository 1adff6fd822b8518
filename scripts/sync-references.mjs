// Writes the tsconfig.json files so that project references follow the dependencies in package.json.
// With --check it writes nothing and fails when a file is out of date.
import { existsSync, readdirSync, readFileSync, writeFileSync } from "node:fs";
import { relative } from "node:path";

const check = process.argv.includes("--check");
const stale = [];

function writeIfChanged(path, value) {
    const text = JSON.stringify(value, undefined, 4) + "\n";
    if (existsSync(path) && readFileSync(path, "utf8") === text) {
        return;
    }
    stale.push(path);
    if (!check) {
        writeFileSync(path, text);
    }
}

const folders = readdirSync("packages")
    .map(name => `packages/${name}`)
    .concat("platform")
    .filter(folder => existsSync(`${folder}/package.json`))
    .sort();
for (const folder of folders) {
    const manifest = JSON.parse(readFileSync(`${folder}/package.json`, "utf8"));
    const root = relative(folder, ".");
    const references = Object.keys({ ...manifest.dependencies, ...manifest.devDependencies })
        .filter(dependency => dependency.startsWith("@chestnutspool/"))
        .map(dependency => ({ path: relative(folder, `packages/${dependency.slice("@chestnutspool/".length)}`) }));
    writeIfChanged(`${folder}/tsconfig.json`, {
        extends: `${root}/tsconfig.base.json`,
        compilerOptions: { rootDir: "src", outDir: "dist" },
        include: ["src"],
        references,
    });
}
writeIfChanged("tsconfig.json", { files: [], references: folders.map(path => ({ path })) });

if (check && stale.length > 0) {
    console.error(`out of date: ${stale.join(", ")}; run node scripts/sync-references.mjs`);
    process.exit(1);
}
