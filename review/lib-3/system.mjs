// Starts the programs of the deploy file as separate processes on loopback addresses.
import { spawn } from "node:child_process";
import { mkdirSync, mkdtempSync, openSync, readFileSync, rmSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";

const root = join(import.meta.dirname, "../..");
const ports = { front: 8161, readiness: 8167, control: 8166, metrics: 9464 };
const peerPort = 7720;
/** The platform starts a process again a short time after it has ended, in milliseconds. */
const restartDelayMs = 300;

/** Bounds of the site `moreno-vaac`, as its settings files have them. */
export const bounds = {
    heartbeatMs: 1_500,
    contactMs: 3_000,
    ackMs: 4_000,
    graceS: 6,
    configApplyMs: 2_000,
    recoveryS: 12,
    drainMs: 2_000,
    maxHoldMs: 6_000,
    stopMs: 200,
    gangTimeoutMs: 3_000,
    cancelMs: 3_000,
    visibleMs: 3_000,
    earlyMs: 250,
    finishS: 14,
    farFactor: 3,
    checkpointS: 1,
    restoreMs: 100,
    paceMs: 100,
};

/** Reads the program and its arguments from the `run` line of a role in the deploy file. */
function readRunLine(role) {
    const text = readFileSync(join(root, "deploy/system.toml"), "utf8");
    const section = text.split(/^\[roles\./m).find(part => part.startsWith(`${role}]`)) ?? "";
    const line = /^run = "(.*)"$/m.exec(section);
    if (line === null) {
        throw new Error(`the deploy file has no run line of the role ${role}`);
    }
    return line[1].split(" ");
}

export function sleep(ms) {
    return new Promise(resolve => setTimeout(resolve, ms));
}

/** Draws the first three bytes of the addresses of a system, so that systems at the same time have different ones. */
function drawNetwork() {
    return `127.${40 + Math.floor(Math.random() * 200)}.${Math.floor(Math.random() * 250)}`;
}

/** Opens a system of `controls` control and `entries` entry processes in a temporary folder. */
export function openSystem({ controls = 3, entries = 2, extraLines = [], recordEnd = () => undefined } = {}) {
    const folder = mkdtempSync(join(tmpdir(), "review-"));
    const network = drawNetwork();
    const ipOf = (group, index) => `${network}.${60 * group - 49 + index}`;
    const seeds = Array.from(
        { length: Math.min(3, controls) },
        (unused, index) => `${ipOf(1, index)}:${ports.control}`,
    );
    const processes = [];
    let isClosed = false;

    const createProcess = (role, index) => {
        const isControl = role === "control";
        const ip = ipOf(isControl ? 1 : 2, index);
        const name = `${role}-${index + 1}`;
        const dataFolder = join(folder, name);
        const settingsFile = join(folder, `${name}.conf`);
        let child;
        let isFirstStart = true;
        let isHeldDown = false;
        const writeSettings = () =>
            writeFileSync(
                settingsFile,
                [
                    `nodeName=${name}`,
                    `role=${role}`,
                    `machineClass=${isControl ? "core" : "front"}`,
                    `serves=${isControl ? "control" : "front"}`,
                    `ip=${ip}`,
                    "zone=zone-1",
                    "region=region-1",
                    "zones.zone-1=region-1",
                    ...(isControl
                        ? [`listen.control=${ip}:${ports.control}`, `dataDir=${dataFolder}`]
                        : [
                            `listen.front=${ip}:${ports.front}`,
                            `listen.readinessAddress=${ip}:${ports.readiness}`,
                        ]),
                    `portRange=${peerPort},${peerPort + 15}`,
                    `seeds=${seeds.join(",")}`,
                    `bootstrap=${isFirstStart}`,
                    "discovery=registry",
                    "entry=vip",
                    `heartbeatMs=${bounds.heartbeatMs}`,
                    "contracts=base,drain,config,cost,recover,sched,advice,upkeep,sharing",
                    "faultTolerance.machines=1",
                    ...Object.entries(bounds).map(([key, value]) => `bounds.${key}=${value}`),
                    "bounds.enforceFencing=true",
                    "config_mode=highest",
                    "controlMode=call",
                    ...extraLines,
                    "",
                ].join("\n"),
            );
        const start = () => {
            if (isClosed || isHeldDown) {
                return;
            }
            if (isControl) {
                mkdirSync(dataFolder, { recursive: true });
            }
            writeSettings();
            isFirstStart = false;
            const log = openSync(join(folder, `${name}.log`), "a");
            const [program, ...programArguments] = readRunLine(role);
            const started = spawn(program === "node" ? process.execPath : program, programArguments, {
                cwd: root,
                stdio: ["ignore", log, log],
                env: {
                    PATH: process.env.PATH,
                    HOME: folder,
                    CHESTNUTSPOOL_BOOT: settingsFile,
                    METRICS_ADDRESS: `${ip}:${ports.metrics}`,
                },
            });
            child = started;
            started.once("exit", (code, signal) => {
                if (!isClosed && !isHeldDown) {
                    one.ends.push({ code, signal });
                    recordEnd(name, code, signal);
                }
                if (child === started) {
                    child = undefined;
                    setTimeout(start, restartDelayMs);
                }
            });
        };
        const one = {
            name,
            role,
            ip,
            start,
            /** Ends of the process that the case did not cause with `kill`. */
            ends: [],
            logFile: join(folder, `${name}.log`),
            isRunning: () => child !== undefined,
            pid: () => child?.pid,
            signal: name => child?.kill(name),
            /** Kills the process; it is started again after `downMs`, with an empty data folder if it is to lose its disk. */
            kill: async (downMs, losesDisk = false) => {
                isHeldDown = true;
                const ended = child === undefined ? undefined : new Promise(resolve => child.once("exit", resolve));
                child?.kill("SIGKILL");
                await ended;
                if (losesDisk) {
                    rmSync(dataFolder, { recursive: true, force: true });
                }
                await sleep(downMs);
                isHeldDown = false;
                if (child === undefined) {
                    start();
                }
            },
            /** Ends the process with SIGTERM; it is started again. */
            terminate: () => child?.kill("SIGTERM"),
            endAtOnce: () => {
                child?.kill("SIGCONT");
                child?.kill("SIGKILL");
            },
        };
        processes.push(one);
        return one;
    };
    const system = {
        folder,
        network,
        controls: Array.from({ length: controls }, (unused, index) => createProcess("control", index)),
        entries: Array.from({ length: entries }, (unused, index) => createProcess("entry", index)),
        frontPort: ports.front,
        controlPort: ports.control,
        readinessPort: ports.readiness,
        minionIp: index => ipOf(3, index),
        start: () => processes.forEach(one => one.start()),
        /** The control process that leads by its own log: the last one that wrote that it opened a term. */
        findLeader: () => {
            let found;
            let latest = "";
            for (const one of system.controls) {
                const lines = readFileSync(one.logFile, "utf8").split("\n").filter(line =>
                    line.includes("\"term opened\"")
                );
                const time = /"time":"([^"]+)"/.exec(lines.at(-1) ?? "")?.[1] ?? "";
                if (time > latest) {
                    latest = time;
                    found = one;
                }
            }
            return found;
        },
        close: async () => {
            isClosed = true;
            processes.forEach(one => one.endAtOnce());
            while (processes.some(one => one.isRunning())) {
                await sleep(20);
            }
            if (process.env.KEEP !== "1") {
                rmSync(folder, { recursive: true, force: true });
            }
        },
    };
    // Ends the processes also when the case itself is ended.
    process.once("exit", () => processes.forEach(one => one.endAtOnce()));
    ["SIGTERM", "SIGINT", "SIGHUP"].forEach(signal => process.once(signal, () => process.exit(2)));
    return system;
}
