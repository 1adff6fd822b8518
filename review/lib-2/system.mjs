import { spawn } from "node:child_process";
import { mkdirSync, rmSync, writeFileSync } from "node:fs";
import { join } from "node:path";
import { awaitMs } from "./await-ms.mjs";

const repository = join(import.meta.dirname, "../..");

/** Program that the build line of the deploy file writes. */
export const programFile = join(repository, "target/chestnutspool.mjs");

/** Ports of the processes; each process has its own loopback address. */
export const ports = { front: 8161, readiness: 8167, control: 8166, peer: 7720, metrics: 9464 };

/** Time after which the platform starts a process again that has ended. */
const restartMs = 300;
const graceMs = 6_000;

/** Arguments of `run` in the deploy file. */
const roleArguments = {
    control: ["--single-threaded-gc", "--max-old-space-size=200", "target/chestnutspool.mjs"],
    entry: ["--max-old-space-size=160", "target/chestnutspool.mjs"],
};

/** Settings of a small deployment, with the bounds of the site moreno-vaac. */
function formatSettings({ name, role, ip, zone, seeds, dataFolder, isFirstStart }) {
    const isControl = role === "control";
    return [
        `nodeName=${name}`,
        `role=${role}`,
        `machineClass=${isControl ? "core" : "front"}`,
        `serves=${isControl ? "control" : "front"}`,
        `ip=${ip}`,
        `zone=${zone}`,
        "region=cuyo",
        "zones.cuyo-norte=cuyo",
        "zones.cuyo-sur=cuyo",
        ...(isControl
            ? [`listen.control=${ip}:${ports.control}`, `dataDir=${dataFolder}`]
            : [`listen.front=${ip}:${ports.front}`, `listen.readinessAddress=${ip}:${ports.readiness}`]),
        `portRange=${ports.peer},${ports.peer + 15}`,
        `seeds=${seeds.map(seed => `${seed}:${ports.control}`).join(",")}`,
        `bootstrap=${isFirstStart}`,
        `inTolerance=${isControl}`,
        "limits.cpuShare=1",
        "limits.cores=1",
        "limits.memoryMb=350",
        "limits.maxFds=4100",
        "limits.linkMbps=1000.0",
        `limits.diskMb=${isControl ? 128 : 0}`,
        "discovery=registry",
        "entry=vip",
        "heartbeatMs=1500",
        "contracts=base,drain,config,cost,recover,sched,advice,upkeep,sharing",
        "faultTolerance.machines=1",
        "faultTolerance.zones=0",
        "faultTolerance.regions=0",
        "bounds.seedLagS=3",
        "bounds.reuseAfterS=2",
        "bounds.contactMs=3000",
        "bounds.ackMs=4000",
        "bounds.catchupS=4",
        "bounds.drainMs=2000",
        `bounds.graceS=${graceMs / 1000}`,
        "bounds.lossSlackMs=200",
        "bounds.configApplyMs=2000",
        "bounds.downgradeSlackMs=250",
        "bounds.outerMs=5000",
        "bounds.recoveryS=12",
        "bounds.maxHoldMs=6000",
        "bounds.stopMs=200",
        "bounds.gangTimeoutMs=3000",
        "bounds.cancel_ms=3000",
        "bounds.visible_ms=3000",
        "bounds.early_ms=250",
        "bounds.finish_s=14",
        "bounds.status_s=120",
        "bounds.farFactor=3",
        "bounds.checkpointS=1",
        "bounds.restoreMs=100",
        "bounds.noticeMs=4500",
        "bounds.leaseMs=3000",
        "bounds.thawMs=300",
        "bounds.paceMs=100",
        "bounds.harmMs=4000",
        "config_mode=highest",
        "controlMode=call",
        "",
    ].join("\n");
}

/** One process of the system. The platform starts it again when it ends, until it is removed. */
class SystemProcess {
    #child;
    #isRemoved = false;
    #isFirstStart;
    #seeds;

    constructor(system, { name, role, ip, zone, seeds, isFirstStart }) {
        Object.assign(this, { system, name, role, ip, zone });
        this.#isFirstStart = isFirstStart;
        this.#seeds = seeds;
        this.settingsFile = join(system.folder, `${name}.conf`);
        this.dataFolder = role === "control" ? join(system.folder, name) : undefined;
        this.output = [];
    }

    get isRunning() {
        return this.#child !== undefined && this.#child.exitCode === null && this.#child.signalCode === null;
    }

    /** Writes the settings file; `seeds` are the control processes in the list of the platform. */
    writeSettings(seeds = this.#seeds) {
        this.#seeds = seeds;
        writeFileSync(this.settingsFile, formatSettings({ ...this, seeds, isFirstStart: this.#isFirstStart }));
    }

    start() {
        if (this.dataFolder !== undefined) {
            mkdirSync(this.dataFolder, { recursive: true });
        }
        this.writeSettings();
        this.#isFirstStart = false;
        const child = spawn(process.execPath, roleArguments[this.role], {
            cwd: repository,
            stdio: ["ignore", "pipe", "pipe"],
            env: {
                PATH: process.env.PATH,
                CHESTNUTSPOOL_BOOT: this.settingsFile,
                METRICS_ADDRESS: `${this.ip}:${ports.metrics}`,
            },
        });
        this.#child = child;
        const read = chunk => this.output.push(chunk.toString());
        child.stdout.on("data", read);
        child.stderr.on("data", read);
        child.once("exit", (code, signal) => {
            this.system.record.write("process-ended", { name: this.name, code, signal });
            if (!this.#isRemoved) {
                setTimeout(() => !this.#isRemoved && this.start(), restartMs);
            }
        });
        this.system.record.write("process-started", { name: this.name, ip: this.ip, pid: child.pid });
    }

    signal(name) {
        if (this.isRunning) {
            this.system.record.write("signal", { name: this.name, signal: name });
            this.#child.kill(name);
        }
    }

    /** The machine is gone for good: the process is killed and not started again. */
    remove() {
        this.#isRemoved = true;
        if (this.isRunning) {
            this.signal("SIGKILL");
        }
    }

    /** Parses the lines that the process has logged so far. */
    listLines() {
        return this.output.join("").split("\n").flatMap(line => {
            try {
                return [JSON.parse(line)];
            }
            catch {
                return [];
            }
        });
    }
}

/** The processes of a deployment on loopback addresses `127.A.B.n`. */
export class System {
    processes = [];

    constructor({ folder, network, record }) {
        Object.assign(this, { folder, network, record });
    }

    /** Address of machine `number`. */
    address(number) {
        return `${this.network}.${number}`;
    }

    add(options) {
        const added = new SystemProcess(this, options);
        this.processes.push(added);
        added.start();
        return added;
    }

    /** Starts a new deployment: control processes from address 11 on, entry processes from 51 on. */
    startAll({ controls, entries }) {
        const seeds = [11, 12, 13].map(number => this.address(number));
        for (let index = 0; index < controls; index += 1) {
            this.add({
                name: `core-${index + 1}`,
                role: "control",
                ip: this.address(11 + index),
                zone: "cuyo-norte",
                seeds,
                isFirstStart: true,
            });
        }
        for (let index = 0; index < entries; index += 1) {
            this.add({
                name: `front-${index + 1}`,
                role: "entry",
                ip: this.address(51 + index),
                zone: "cuyo-norte",
                seeds,
                isFirstStart: true,
            });
        }
    }

    list(role) {
        return this.processes.filter(each => each.role === role && each.isRunning);
    }

    /** Addresses at which the control interface is served, as in the operator's list. */
    listControlAddresses() {
        return this.list("control").map(({ ip }) => `${ip}:${ports.control}`);
    }

    listFrontAddresses() {
        return this.list("entry").map(({ ip }) => `${ip}:${ports.front}`);
    }

    /** Finds the control process that leads, by the lines that it has logged. */
    findLeader() {
        return this.list("control").find(each => {
            const last = each.listLines().findLast(({ message }) =>
                message === "term opened" || message === "term closed"
            );
            return last?.message === "term opened";
        });
    }

    removeAll() {
        this.processes.forEach(each => each.remove());
    }

    /** Ends all processes and removes the folder. */
    async close() {
        this.removeAll();
        while (this.processes.some(each => each.isRunning)) {
            await awaitMs(20);
        }
        rmSync(this.folder, { recursive: true, force: true });
    }
}
