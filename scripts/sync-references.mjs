// Writes the tsconfig.json files so that project references follow the dependencies in package.json.
// With --check it writes nothing and fails when a file is out of date.
import { existsSync, readdirSync, readFileSync, writeFileSync } from "node:fs";

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

const names = readdirSync("packages").filter(name => existsSync(`packages/${name}/package.json`)).sort();
for (const name of names) {
    const manifest = JSON.parse(readFileSync(`packages/${name}/package.json`, "utf8"));
    const references = Object.keys({ ...manifest.dependencies, ...manifest.devDependencies })
        .filter(dependency => dependency.startsWith("@chestnutspool/"))
        .map(dependency => ({ path: `../${dependency.slice("@chestnutspool/".length)}` }));
    writeIfChanged(`packages/${name}/tsconfig.json`, {
        extends: "../../tsconfig.base.json",
        compilerOptions: { rootDir: "src", outDir: "dist" },
        include: ["src"],
        references,
    });
}
writeIfChanged("tsconfig.json", { files: [], references: names.map(name => ({ path: `packages/${name}` })) });

if (check && stale.length > 0) {
    console.error(`out of date: ${stale.join(", ")}; run node scripts/sync-references.mjs`);
    process.exit(1);
}
