import { existsSync, mkdirSync, mkdtempSync, writeFileSync } from "node:fs";
import { createServer } from "node:net";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { createRecord } from "./record.mjs";
import { ports, programFile, System } from "./system.mjs";

/** Results of a case, which are the exit codes of its script. */
const results = { held: 0, broken: 1, notRun: 2 };
/** Time after which a case is given up; a script may run for 120 s. */
const caseLimitMs = 118_000;
const networkAttempts = 20;

function isFree(ip) {
    return new Promise(resolve => {
        const server = createServer();
        server.once("error", () => resolve(false));
        server.listen(ports.control, ip, () => server.close(() => resolve(true)));
    });
}

/** Finds the first three numbers of loopback addresses that no other run uses. */
async function findNetwork() {
    for (let attempt = 0; attempt < networkAttempts; attempt += 1) {
        const numbers = [0, 0].map(() => 20 + Math.floor(Math.random() * 200));
        const network = `127.${numbers.join(".")}`;
        if (await isFree(`${network}.11`)) {
            return network;
        }
    }
    throw new Error("no loopback addresses are free");
}

/** Writes what the processes have logged into the folder that LOGS names. */
function saveLogs(system) {
    const folder = process.env.LOGS;
    if (folder !== undefined) {
        mkdirSync(folder, { recursive: true });
        system.processes.forEach(({ name, output }) => writeFileSync(join(folder, `${name}.log`), output.join("")));
    }
}

function failAfterLimit() {
    return new Promise((resolve, reject) => {
        setTimeout(() => reject(new Error(`the case took longer than ${caseLimitMs} ms`)), caseLimitMs);
    });
}

/**
 * Runs a case and ends the process with its result. `run` gets the system, the record and whether there is trouble; it
 * returns how the rule was broken, or undefined if it held. An exception means that the case could not run.
 */
export async function runCase(folder, run) {
    const record = createRecord(join(folder, "record.txt"));
    const hasTrouble = process.env.TROUBLE !== "0";
    record.write("case", { trouble: hasTrouble });
    if (!existsSync(programFile)) {
        record.write("result", { rule: "not run: the program of the deploy file is not built" });
        record.save();
        process.exit(results.notRun);
    }
    const system = new System({
        folder: mkdtempSync(join(tmpdir(), "chestnutspool-case-")),
        network: await findNetwork(),
        record,
    });
    process.once("exit", () => system.removeAll());
    ["SIGINT", "SIGTERM"].forEach(signal => process.once(signal, () => process.exit(results.notRun)));
    let result = results.notRun;
    try {
        const broken = await Promise.race([run({ system, record, hasTrouble }), failAfterLimit()]);
        result = broken === undefined ? results.held : results.broken;
        record.write("result", { rule: broken === undefined ? "held" : `broken: ${broken}` });
    }
    catch (error) {
        record.write("result", { rule: `not run: ${error instanceof Error ? error.message : String(error)}` });
    }
    saveLogs(system);
    await system.close();
    record.save();
    process.exit(result);
}
