import { createForwarder, type Forwarder } from "@chestnutspool/forward-jobs";
import { createJobMachine, type JobMachine } from "@chestnutspool/job-state";
import { createControlView, type Directory, serveDirectory } from "@chestnutspool/join-cluster";
import { createKernel, defineService, type Kernel } from "@chestnutspool/kernel";
import { type Leadership, startLeadership } from "@chestnutspool/lead-jobs";
import type { Logger } from "@chestnutspool/logger";
import { openWebSocketLink } from "@chestnutspool/peer-link";
import type { Metrics } from "@chestnutspool/record-metrics";
import { openWorkerCalls, type RelayedWorkerCalls } from "@chestnutspool/relay-worker-calls";
import { awaitReplicaFailure as awaitFailure, openFileDisk, openReplicatedLog } from "@chestnutspool/replicated-log";
import type {
    ErrorData,
    JobCommand,
    JobReply,
    JobRequest,
    JobResult,
    PeerLink,
    ReplicatedLog,
    WorkerPort,
    WorkerRef,
} from "@chestnutspool/types";
import { Effect } from "effect";
import { performance } from "node:perf_hooks";
import { getHeapStatistics } from "node:v8";
import { computeStateBudget } from "./compute-state-budget.js";
import { type ControlSettings, type JobProcessSettings, logTiming } from "./process-settings.js";

/** Time limit of the transfer of leadership at the end of a process, in milliseconds. */
const transferLimitMs = 2_000;

/** Ports of a process: calls to workers, log lines and metrics. */
export interface JobProcessPorts {
    readonly workers: WorkerPort<WorkerRef>;
    readonly logger: Logger;
    readonly metrics: Metrics;
}

const linkKey = defineService<PeerLink>("link");
/** The state of jobs; only in a control process. */
export const machineKey = defineService<JobMachine>("jobMachine");
/** The replicated log of jobs; only in a control process. */
export const logKey = defineService<ReplicatedLog<JobCommand, JobResult>>("jobLog");
/** Calls to workers through the other control processes; only in a control process. */
export const workerCallsKey = defineService<RelayedWorkerCalls>("workerCalls");
const leadershipKey = defineService<Leadership>("leadership");
const directoryKey = defineService<Directory>("directory");
/** The service that forwards requests to the leader. */
export const forwarderKey = defineService<Forwarder>("forwarder");

/** Transfers leadership before the process stops, so that no request has to wait for an election. */
const transferLeadership = (log: ReplicatedLog<JobCommand, JobResult>): Effect.Effect<void> =>
    log.readStatus().role === "leader"
        ? Effect.ignore(Effect.timeoutOption(log.transferLeadership, transferLimitMs))
        : Effect.void;

function registerControl(
    kernel: Kernel,
    settings: JobProcessSettings,
    control: ControlSettings,
    ports: JobProcessPorts,
): void {
    const { logger, metrics, workers } = ports;
    kernel.registerService({
        key: machineKey,
        needs: [],
        start: Effect.sync(() => {
            const heapLimitBytes = getHeapStatistics().heap_size_limit;
            const budgetBytes = computeStateBudget(heapLimitBytes, control.memoryLimitBytes);
            logger.info("memory for jobs", { budgetBytes, heapLimitBytes, memoryLimitBytes: control.memoryLimitBytes });
            return createJobMachine(budgetBytes);
        }),
    });
    kernel.registerService({
        key: logKey,
        needs: [linkKey, machineKey],
        start: Effect.gen(function*() {
            const disk = yield* openFileDisk(control.dataFolder);
            const options = {
                self: settings.id,
                initialMembers: control.formsCluster ? settings.seeds : [],
                log: logTiming,
            };
            const log = logger.forService("log");
            const link = kernel.findService(linkKey);
            return yield* openReplicatedLog(options, { link, disk, logger: log }, kernel.findService(machineKey));
        }),
        drain: transferLeadership,
    });
    kernel.registerService({
        key: workerCallsKey,
        needs: [linkKey, logKey],
        start: Effect.suspend(() =>
            openWorkerCalls({
                link: kernel.findService(linkKey),
                log: kernel.findService(logKey),
                workers,
                availabilityZone: settings.availabilityZone,
                logger: logger.forService("workerCalls"),
                metrics,
            })
        ),
        drain: calls => calls.drain,
    });
    kernel.registerService({
        key: leadershipKey,
        needs: [logKey, workerCallsKey],
        start: Effect.gen(function*() {
            const leadership = yield* startLeadership({
                log: kernel.findService(logKey),
                machine: kernel.findService(machineKey),
                workers: kernel.findService(workerCallsKey).port,
                limits: control,
                logger: logger.forService("leader"),
                metrics,
                readBusyMs: () => performance.eventLoopUtilization().active,
            });
            kernel.findService(linkKey).openChannel<JobRequest, JobReply>("jobs", {
                handleCall: (from, request) => leadership.handleRequest(request),
            });
            return leadership;
        }),
    });
    kernel.registerService({
        key: directoryKey,
        needs: [logKey, linkKey],
        start: Effect.suspend(() =>
            serveDirectory({
                link: kernel.findService(linkKey),
                log: kernel.findService(logKey),
                seeds: settings.seeds,
                logger: logger.forService("directory"),
            })
        ),
    });
}

/** Creates the kernel of a process: a control process has a replica of the log, an entry process has none. */
export function createJobProcess(settings: JobProcessSettings, ports: JobProcessPorts): Kernel {
    const { logger } = ports;
    const kernel = createKernel(logger);
    kernel.registerService({
        key: linkKey,
        needs: [],
        start: openWebSocketLink(
            { self: settings.id, listenHost: settings.peerHost, listenPort: settings.peerPort },
            logger.forService("link"),
        ),
    });
    const { control } = settings;
    if (control !== undefined) {
        registerControl(kernel, settings, control, ports);
    }
    kernel.registerService({
        key: forwarderKey,
        needs: control === undefined ? [linkKey] : [linkKey, leadershipKey, directoryKey],
        start: Effect.gen(function*() {
            const directory = control === undefined ? undefined : kernel.findService(directoryKey);
            const leadership = control === undefined ? undefined : kernel.findService(leadershipKey);
            const forwarder = createForwarder({
                link: kernel.findService(linkKey),
                view: createControlView(settings.seeds),
                findLocalLeader: directory?.findLeader,
                handleLocally: leadership?.handleRequest,
                logger: logger.forService("forwarder"),
                metrics: ports.metrics,
            });
            yield* Effect.forkScoped(forwarder.keepLocating);
            return forwarder;
        }),
    });
    return kernel;
}

/**
 * Fails with `serviceFailed` once the replica of this process has stopped, because only a restart opens it again; never ends
 * in an entry process. Closing the kernel stops the replica too, so that the wait is to end before that.
 */
export function awaitReplicaFailure(kernel: Kernel, settings: JobProcessSettings): Effect.Effect<never, ErrorData> {
    return settings.control === undefined
        ? Effect.never
        : awaitFailure(kernel.findService(logKey), logKey.name);
}
