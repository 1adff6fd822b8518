// Runs all tests, or the given files, with Node's test runner. Only the tests listed in KNOWN-RED.txt ("test: <name>"
// lines) may fail.
import { existsSync, readdirSync, readFileSync } from "node:fs";
import { run } from "node:test";

const testTimeoutMs = 300_000;
const testConcurrency = 4;

const knownRed = new Set(
    existsSync("KNOWN-RED.txt")
        ? readFileSync("KNOWN-RED.txt", "utf8").split("\n").filter(line => line.startsWith("test: ")).map(line =>
            line.slice(6).trim()
        )
        : [],
);
const chosen = process.argv.slice(2);
const files = chosen.length > 0 ? chosen : listTestFiles();
function listTestFiles() {
    return readdirSync("packages")
        .map(name => `packages/${name}`)
        .concat("platform")
        .filter(folder => existsSync(`${folder}/dist`))
        .flatMap(folder => readdirSync(`${folder}/dist`, { recursive: true }).map(file => `${folder}/dist/${file}`))
        .filter(file => file.endsWith(".test.js"))
        // The compiler does not delete the output of a test that was renamed or removed.
        .filter(file => existsSync(file.replace("/dist/", "/src/").replace(/\.js$/, ".ts")))
        .sort();
}

const failures = [];
const allowedFailures = [];
let passed = 0;

const stream = run({ files, concurrency: testConcurrency, timeout: testTimeoutMs });
stream.on("test:pass", event => {
    if (event.details.type !== "suite") {
        passed += 1;
    }
    if (event.skip !== undefined || event.todo !== undefined) {
        failures.push(`${event.name} (skipped)`);
    }
});
stream.on("test:fail", event => {
    const error = event.details.error;
    if (error?.failureType === "subtestsFailed") {
        return;
    }
    if (knownRed.has(event.name)) {
        allowedFailures.push(event.name);
        return;
    }
    failures.push(event.name);
    console.log(`FAIL ${event.name} (${event.file})`);
    console.log(error?.cause?.stack ?? error?.cause ?? error);
});
stream.on("test:stderr", event => process.stderr.write(event.message));
stream.on("end", () => {
    for (const name of allowedFailures) {
        console.log(`known red: ${name}`);
    }
    console.log(`${passed} passed, ${failures.length} failed, ${allowedFailures.length} skipped`);
    process.exit(failures.length === 0 && passed > 0 ? 0 : 1);
});
stream.resume();
