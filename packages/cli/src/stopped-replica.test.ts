import { Effect } from "effect";
import assert from "node:assert/strict";
import { spawn } from "node:child_process";
import { mkdirSync, mkdtempSync, rmSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { test } from "node:test";
import { reservePorts } from "./process/reserve-ports.js";

const programFile = join(import.meta.dirname, "main.js");
/** Time after which a process that does not end is killed, in milliseconds. */
const endLimitMs = 30_000;
/**
 * Loaded before the program: makes each sync of a log file fail, as on a disk with a bad block, but for the first one, with which
 * the program opens the file; a failure there is a failed start.
 */
const failingSync = `data:text/javascript,${
    encodeURIComponent(`
import { open } from "node:fs/promises";
const handle = await open("/dev/null");
const prototype = Object.getPrototypeOf(handle);
const { datasync } = prototype;
let syncs = 0;
prototype.datasync = function() {
    syncs += 1;
    return syncs === 1 ? datasync.call(this) : Promise.reject(new Error("EIO: i/o error, fdatasync"));
};
await handle.close();
`)
}`;

interface ProcessEnd {
    readonly code: number | null;
    readonly output: string;
}

/** Runs `serve` until it ends; sends SIGTERM once the output has the text `stopAfter`. */
function runServe(settingsFile: string, nodeFlags: readonly string[], stopAfter: string): Promise<ProcessEnd> {
    const child = spawn(process.execPath, [...nodeFlags, programFile, "serve", "--config", settingsFile], {
        stdio: ["ignore", "inherit", "pipe"],
        timeout: endLimitMs,
        killSignal: "SIGKILL",
    });
    let output = "";
    let isStopping = false;
    child.stderr.on("data", (bytes: Buffer) => {
        output += bytes.toString("utf8");
        if (!isStopping && output.includes(stopAfter)) {
            isStopping = true;
            child.kill("SIGTERM");
        }
    });
    return new Promise(resolve => {
        child.once("close", code => resolve({ code, output }));
    });
}

function countLines({ output }: ProcessEnd, message: string): number {
    return output.split("\n").filter(line => line.includes(`"message":"${message}"`)).length;
}

/** Writes the settings of the only control replica of a cluster. */
function writeSettings(folder: string, roles: string, rpcPort: number, peerPort: number): string {
    const file = join(folder, "a.ini");
    const dataFolder = join(folder, "data");
    mkdirSync(dataFolder);
    writeFileSync(
        file,
        [
            "[process]",
            "id=a",
            `roles=${roles}`,
            "host=a",
            "region=r",
            "availability_zone=z",
            `data_folder=${dataFolder}`,
            "[listen]",
            `rpc_port=${rpcPort}`,
            `peer_port=${peerPort}`,
            "[control]",
            `a=127.0.0.1:${peerPort}`,
        ].join("\n"),
    );
    return file;
}

// Guards against a process that goes on without its replica, which nobody restarts (issue 25).
for (const roles of ["control", "control,entry"]) {
    void test(
        `serve with the roles ${roles} ends with an error when its replica stops, and works again after a restart`,
        {
            timeout: 120_000,
        },
        async context => {
            const folder = mkdtempSync(join(tmpdir(), "stopped-replica-"));
            context.after(() => rmSync(folder, { recursive: true }));
            const [rpcPort = 0, peerPort = 0] = await Effect.runPromise(reservePorts(2));
            const settingsFile = writeSettings(folder, roles, rpcPort, peerPort);
            const failed = await runServe(settingsFile, ["--import", failingSync], "never written");
            assert.equal(failed.code, 1, failed.output);
            assert.equal(countLines(failed, "replica stopped"), 1);
            assert.equal(countLines(failed, "process failed"), 1);
            assert.match(failed.output, /^error serviceFailed: .*the replica has stopped/m);
            // A process that is stopped on purpose closes its replica too, which is not a failure.
            const stopped = await runServe(settingsFile, [], "\"role\":\"leader\"");
            assert.equal(stopped.code, 0, stopped.output);
            assert.equal(countLines(stopped, "process failed"), 0);
            assert.equal(countLines(stopped, "process stopped"), 1);
        },
    );
}
