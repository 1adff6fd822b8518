import { Effect } from "effect";
import { type ChildProcess, spawn } from "node:child_process";
import { appendFileSync, mkdirSync, mkdtempSync, readFileSync, rmSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { reservePorts } from "../process/reserve-ports.js";
import { awaitCondition } from "./await-condition.js";

const programFile = join(import.meta.dirname, "../main.js");
const maxStartAttempts = 5;

/** A process of the system that a test runs. */
export interface TestProcess {
    readonly id: string;
    readonly rpcAddress: string;
    readonly processId: number;
    /** Ends the process with SIGKILL, as a crash does. */
    readonly kill: () => Promise<void>;
    /** Suspends the process with SIGSTOP, to simulate a stalled host or a silent network partition, or resumes it. */
    readonly setFrozen: (frozen: boolean) => void;
    /** Sends SIGTERM and returns the exit code. */
    readonly terminate: () => Promise<number | null>;
    readonly peerAddress: string;
    /** The log lines so far, of earlier runs too. */
    readonly readLog: () => string;
    readonly hasExited: () => boolean;
}

/** Sizes and roles of a group. */
export interface ProcessGroupOptions {
    readonly controls: number;
    readonly entries: number;
    /** Further sections of each settings file. */
    readonly extraSettings?: string;
}

/** Separate processes of the built program on loopback. */
export interface ProcessGroup {
    readonly controls: TestProcess[];
    readonly entries: TestProcess[];
    /** Restarts a process that has ended, with its settings and data folder, and replaces its handle in the lists. */
    readonly restart: (id: string) => Promise<TestProcess>;
    /** Empties the data folder of a process that has ended, to simulate the loss of its disk. */
    readonly removeStoredData: (id: string) => void;
    /** Kills the processes that still run and removes their files. */
    readonly close: () => Promise<void>;
}

interface Member {
    readonly id: string;
    readonly role: "control" | "entry";
    readonly rpcPort: number;
    readonly peerPort: number;
}

function formatSettings(member: Member, all: readonly Member[], folder: string, extra: string): string {
    const controls = all.filter(one => one.role === "control");
    return [
        "[process]",
        `id=${member.id}`,
        `roles=${member.role}`,
        `host=${member.id}`,
        "region=test",
        "availability_zone=test-a",
        `data_folder=${join(folder, member.id)}`,
        "[listen]",
        `rpc_port=${member.rpcPort}`,
        `peer_port=${member.peerPort}`,
        "[control]",
        ...controls.map(one => `${one.id}=127.0.0.1:${one.peerPort}`),
        extra,
    ].join("\n");
}

function awaitExit(child: ChildProcess): Promise<number | null> {
    return new Promise(resolve => {
        if (child.exitCode !== null || child.signalCode !== null) {
            resolve(child.exitCode);
            return;
        }
        child.once("exit", code => resolve(code));
    });
}

async function startMember(member: Member, folder: string): Promise<TestProcess> {
    const logFile = join(folder, `${member.id}.log`);
    const child = spawn(process.execPath, [programFile, "serve", "--config", join(folder, `${member.id}.ini`)], {
        stdio: ["ignore", "ignore", "pipe"],
    });
    let log = "";
    child.stderr.on("data", (part: Buffer) => {
        log += part.toString();
        // Written synchronously, because a test that reads the log must find the line that it waited for.
        appendFileSync(logFile, part);
    });
    const hasExited = (): boolean => child.exitCode !== null || child.signalCode !== null;
    await awaitCondition(`start of ${member.id}`, () => hasExited() || log.includes("process started"));
    if (hasExited()) {
        throw new Error(`${member.id} did not start: ${log}`);
    }
    return {
        id: member.id,
        rpcAddress: `127.0.0.1:${member.rpcPort}`,
        peerAddress: `127.0.0.1:${member.peerPort}`,
        processId: child.pid ?? 0,
        kill: async () => {
            child.kill("SIGKILL");
            await awaitExit(child);
        },
        setFrozen: frozen => {
            child.kill(frozen ? "SIGSTOP" : "SIGCONT");
        },
        terminate: () => {
            child.kill("SIGTERM");
            return awaitExit(child);
        },
        readLog: () => readFileSync(logFile, "utf8"),
        hasExited,
    };
}

async function startGroup(options: ProcessGroupOptions, folder: string): Promise<ProcessGroup> {
    const ids = [
        ...Array.from({ length: options.controls }, (unused, index) => ({ id: `c${index}`, role: "control" as const })),
        ...Array.from({ length: options.entries }, (unused, index) => ({ id: `e${index}`, role: "entry" as const })),
    ];
    const ports = await Effect.runPromise(reservePorts(ids.length * 2));
    const members = ids.map((one, index): Member => ({
        ...one,
        rpcPort: ports[index * 2] ?? 0,
        peerPort: ports[index * 2 + 1] ?? 0,
    }));
    for (const member of members) {
        mkdirSync(join(folder, member.id), { recursive: true });
        writeFileSync(
            join(folder, `${member.id}.ini`),
            formatSettings(member, members, folder, options.extraSettings ?? ""),
        );
    }
    const results = await Promise.allSettled(members.map(member => startMember(member, folder)));
    const running = results.flatMap(result => result.status === "fulfilled" ? [result.value] : []);
    const failed = results.find(result => result.status === "rejected");
    const killAll = () => Promise.all(running.filter(one => !one.hasExited()).map(one => one.kill()));
    if (failed !== undefined) {
        await killAll();
        throw failed.reason;
    }
    const listRole = (role: Member["role"]): TestProcess[] =>
        running.filter(one => members.some(member => member.id === one.id && member.role === role));
    const controls = listRole("control");
    const entries = listRole("entry");
    return {
        controls,
        entries,
        restart: async id => {
            const member = members.find(one => one.id === id);
            if (member === undefined) {
                throw new Error(`the group has no process ${id}`);
            }
            const started = await startMember(member, folder);
            running.push(started);
            const list = member.role === "control" ? controls : entries;
            list[list.findIndex(one => one.id === id)] = started;
            return started;
        },
        removeStoredData: id => {
            rmSync(join(folder, id), { recursive: true });
            mkdirSync(join(folder, id));
        },
        close: async () => {
            await killAll();
            rmSync(folder, { recursive: true });
        },
    };
}

/** Starts control and entry processes; retries with other ports when another program has taken a reserved one. */
export async function startProcessGroup(options: ProcessGroupOptions): Promise<ProcessGroup> {
    for (let attempt = 1;; attempt += 1) {
        const folder = mkdtempSync(join(tmpdir(), "processes-"));
        try {
            return await startGroup(options, folder);
        }
        catch (error) {
            rmSync(folder, { recursive: true });
            if (attempt === maxStartAttempts || !String(error).includes("EADDRINUSE")) {
                throw error;
            }
        }
    }
}
