// Measures the processor time of the leader and the followers of nine replicas, each in its own process, over WebSocket on
// loopback, while the leader proposes commands of jobs at a fixed rate.
// Usage: node packages/replicated-log/dist/measure/measure-leader.js FOLDER [seconds] [commands a second] [profile]
// FOLDER is created when it is absent; its data files are removed at the end. With `profile` each replica writes a
// processor profile into FOLDER/profiles, and the name of the leader's is printed.
import { silentLogger } from "@chestnutspool/logger";
import { openWebSocketLink } from "@chestnutspool/peer-link";
import type { ControlPeer, Disk, ErrorData, LogSection } from "@chestnutspool/types";
import { Effect, Exit } from "effect";
import { type ChildProcess, fork } from "node:child_process";
import { mkdir, rm } from "node:fs/promises";
import { createServer } from "node:net";
import type { AddressInfo } from "node:net";
import { join } from "node:path";
import { performance } from "node:perf_hooks";
import { fileURLToPath } from "node:url";
import { openFileDisk } from "../file-disk.js";
import { openReplicatedLog } from "../open-log.js";
import { createJobLoad, createMeasuredMachine } from "./job-load.js";

const listenHost = "127.0.0.1";
const replicaCount = 9;
/**
 * Time of each sync in milliseconds: that of a disk and of the network between hosts, which loopback lacks. It replaces the
 * sync, because nine replicas on one disk wait for each other.
 */
const syncMs = 3;
/** Interval at which the leader proposes the commands that are due, in milliseconds. */
const proposeIntervalMs = 1;
/** Time after the election before the measurement begins, in milliseconds; the code is compiled in it. */
const settleMs = 5_000;

/** The timing of a control process of jobs. */
const logSection: LogSection = {
    electionTimeoutMinMs: 600,
    electionTimeoutMaxMs: 1_200,
    heartbeatMs: 100,
    snapshotEveryEntries: 5_000,
};

interface ReplicaArguments {
    readonly folder: string;
    readonly id: string;
    readonly members: readonly ControlPeer[];
    readonly seconds: number;
    readonly commandsPerSecond: number;
}

interface ReplicaFigures {
    readonly id: string;
    readonly role: string;
    readonly cpuMsPerSecond: number;
    readonly commitsPerSecond: number;
    readonly failures: number;
    readonly p50Ms: number;
    readonly p99Ms: number;
    readonly snapshots: number;
    readonly longestSnapshotMs: number;
    readonly rssMib: number;
}

function printResult(result: object): void {
    process.stdout.write(JSON.stringify(result) + "\n");
}

function computePercentile(sorted: readonly number[], share: number): number {
    return Number((sorted[Math.min(sorted.length - 1, Math.floor(sorted.length * share))] ?? 0).toFixed(2));
}

/** A disk whose syncs of the log take a fixed time in place of that of the file. */
function createTimedDisk(disk: Disk): Disk {
    return {
        ...disk,
        openAppend: name => Effect.map(disk.openAppend(name), file => ({ ...file, sync: Effect.sleep(syncMs) })),
    };
}

function sumCpuMs(): number {
    const { user, system } = process.cpuUsage();
    return (user + system) / 1_000;
}

const runReplica = Effect.fnUntraced(function*(options: ReplicaArguments) {
    const { id, members, commandsPerSecond } = options;
    const port = Number(members.find(member => member.id === id)?.address.split(":")[1]);
    const link = yield* openWebSocketLink({ self: id, listenHost, listenPort: port }, silentLogger);
    const disk = createTimedDisk(yield* openFileDisk(join(options.folder, id)));
    const machine = createMeasuredMachine();
    const ports = { link, disk, logger: silentLogger };
    const log = yield* openReplicatedLog({ self: id, initialMembers: members, log: logSection }, ports, machine);
    while (log.readStatus().leader === undefined) {
        yield* Effect.sleep(proposeIntervalMs);
    }
    const load = createJobLoad(Date.now());
    const latencies: number[] = [];
    let failures = 0;
    let isMeasuring = false;
    const propose = (command: Parameters<typeof log.proposeCommand>[0]) =>
        Effect.gen(function*() {
            const beforeMs = performance.now();
            const exit = yield* Effect.exit(log.proposeCommand(command));
            if (isMeasuring && Exit.isSuccess(exit)) {
                latencies.push(performance.now() - beforeMs);
            }
            else if (isMeasuring) {
                failures += 1;
            }
        });
    const proposeDue = Effect.gen(function*() {
        yield* Effect.forEach(load.listPreparations(), propose, { concurrency: "unbounded", discard: true });
        const startMs = performance.now();
        let proposed = 0;
        while (true) {
            const due = Math.floor((performance.now() - startMs) / 1_000 * commandsPerSecond);
            for (; proposed < due; proposed += 1) {
                yield* Effect.forkScoped(propose(load.createCommand(Date.now())));
            }
            yield* Effect.sleep(proposeIntervalMs);
        }
    });
    if (log.readStatus().role === "leader") {
        yield* Effect.forkScoped(proposeDue);
    }
    yield* Effect.sleep(settleMs);
    isMeasuring = true;
    machine.snapshotTimesMs.length = 0;
    const beforeCpuMs = sumCpuMs();
    const beforeMs = performance.now();
    yield* Effect.sleep(options.seconds * 1_000);
    const elapsedSeconds = (performance.now() - beforeMs) / 1_000;
    latencies.sort((left, right) => left - right);
    const figures: ReplicaFigures = {
        id,
        role: log.readStatus().role,
        cpuMsPerSecond: Math.round((sumCpuMs() - beforeCpuMs) / elapsedSeconds),
        commitsPerSecond: Math.round(latencies.length / elapsedSeconds),
        failures,
        p50Ms: computePercentile(latencies, 0.5),
        p99Ms: computePercentile(latencies, 0.99),
        snapshots: machine.snapshotTimesMs.length,
        longestSnapshotMs: Number(Math.max(0, ...machine.snapshotTimesMs).toFixed(1)),
        rssMib: Math.round(process.memoryUsage().rss / 1024 / 1024),
    };
    return figures;
});

/** Finds free ports; the members of a log need fixed addresses. */
async function listPorts(count: number): Promise<readonly number[]> {
    const servers = await Promise.all(
        Array.from({ length: count }, () =>
            new Promise<ReturnType<typeof createServer>>(resolve => {
                const server = createServer();
                server.listen(0, listenHost, () => resolve(server));
            })),
    );
    const ports = servers.map(server => (server.address() as AddressInfo).port);
    await Promise.all(servers.map(server => new Promise(resolve => server.close(resolve))));
    return ports;
}

function awaitFigures(child: ChildProcess): Promise<ReplicaFigures> {
    return new Promise((resolve, reject) => {
        child.once("message", figures => resolve(figures as ReplicaFigures));
        child.once("exit", code => reject(new Error(`a replica ended with code ${code} and without figures`)));
    });
}

/** The name of the profile that a replica writes. */
function formatProfileName(id: string): string {
    return `${id}.cpuprofile`;
}

async function measureReplicas(folder: string, seconds: number, commandsPerSecond: number, profiles: boolean) {
    const data = join(folder, "data");
    await mkdir(data, { recursive: true });
    const ports = await listPorts(replicaCount);
    const members = ports.map((port, index): ControlPeer => ({ id: `r${index}`, address: `${listenHost}:${port}` }));
    const profileFolder = join(folder, "profiles");
    const children = members.map(({ id }) => {
        const options: ReplicaArguments = { folder: data, id, members, seconds, commandsPerSecond };
        const profile = ["--cpu-prof", `--cpu-prof-dir=${profileFolder}`, `--cpu-prof-name=${formatProfileName(id)}`];
        return fork(fileURLToPath(import.meta.url), ["replica", JSON.stringify(options)], {
            execArgv: profiles ? profile : [],
        });
    });
    try {
        const figures = await Promise.all(children.map(awaitFigures));
        const leader = figures.find(({ role }) => role === "leader");
        const followers = figures.filter(({ role }) => role === "follower");
        const cpuMs = followers.map(({ cpuMsPerSecond }) => cpuMsPerSecond).sort((left, right) => left - right);
        printResult({ measure: "leader", ...leader });
        printResult({
            measure: "followers",
            count: followers.length,
            cpuMsPerSecond: { least: cpuMs[0], median: cpuMs[Math.floor(cpuMs.length / 2)], most: cpuMs.at(-1) },
            longestSnapshotMs: Math.max(...followers.map(({ longestSnapshotMs }) => longestSnapshotMs)),
        });
        if (profiles && leader !== undefined) {
            printResult({ measure: "profile", file: join(profileFolder, formatProfileName(leader.id)) });
        }
    }
    finally {
        await Promise.all(children.map(child =>
            new Promise(resolve => {
                child.once("exit", resolve);
                if (child.exitCode !== null || !child.connected) {
                    resolve(undefined);
                    return;
                }
                child.send("end");
            })
        ));
        await rm(data, { recursive: true });
    }
}

const [first, second = "20", third = "1000", fourth] = process.argv.slice(2);
if (first === undefined) {
    throw new Error("the first argument is missing: give a folder for the data files");
}
if (first === "replica") {
    // The replica runs until the parent asks it to end, so that no process measures while others have ended.
    const program: Effect.Effect<void, ErrorData> = Effect.scoped(Effect.gen(function*() {
        process.send?.(yield* runReplica(JSON.parse(second) as ReplicaArguments));
        yield* Effect.callback<void>(resume => {
            process.once("message", () => resume(Effect.void));
        });
    }));
    await Effect.runPromise(program);
    process.exit();
}
await measureReplicas(first, Number(second), Number(third), fourth === "profile");
