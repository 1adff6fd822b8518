import { createClusterMachine } from "@chestnutspool/cluster-state";
import { type ControlApi, startControl } from "@chestnutspool/control";
import { type EntryApi, startEntry } from "@chestnutspool/entry";
import { createKernel, defineService, type Kernel } from "@chestnutspool/kernel";
import { createLogger, type Logger } from "@chestnutspool/logger";
import { openWebSocketLink } from "@chestnutspool/peer-link";
import { createPlacer } from "@chestnutspool/place-tasks";
import { createMetrics } from "@chestnutspool/record-metrics";
import { awaitReplicaFailure as awaitFailure, openFileDisk, openReplicatedLog } from "@chestnutspool/replicated-log";
import type {
    CommandResult,
    ControlCommand,
    ErrorData,
    PeerLink,
    ProcessSettings,
    ReplicatedLog,
} from "@chestnutspool/types";
import { Effect } from "effect";

/** Key of the peer link. */
export const linkKey = defineService<PeerLink>("link");
/** Key of the control role. */
export const controlKey = defineService<ControlApi>("control");
/** Key of the entry role. */
export const entryKey = defineService<EntryApi>("entry");

type Machine = ReturnType<typeof createClusterMachine>;

/** The replicated log with the state machine to which it applies its commands. */
export interface Replica {
    readonly log: ReplicatedLog<ControlCommand, CommandResult>;
    readonly machine: Machine;
}

/** Key of the replica. */
export const logKey = defineService<Replica>("log");

function registerControl(kernel: Kernel, settings: ProcessSettings, dataFolder: string, logger: Logger): void {
    kernel.registerService({
        key: logKey,
        needs: [linkKey],
        start: Effect.gen(function*() {
            const disk = yield* openFileDisk(dataFolder);
            const machine = createClusterMachine();
            const log = yield* openReplicatedLog(
                { self: settings.process.id, initialMembers: settings.controlPeers, log: settings.log },
                { link: kernel.findService(linkKey), disk, logger: logger.forService("log") },
                machine,
            );
            return { log, machine };
        }),
    });
    kernel.registerService({
        key: controlKey,
        needs: [linkKey, logKey],
        start: Effect.suspend(() =>
            startControl(settings, {
                link: kernel.findService(linkKey),
                ...kernel.findService(logKey),
                placer: createPlacer(settings.placement),
                logger: logger.forService("control"),
            })
        ),
        drain: control => control.drain,
    });
}

/**
 * Time in milliseconds between the end of the drain of an entry host and its exit. In this time it still refuses requests
 * from callers and other entry hosts that do not know of the drain yet. An immediate exit would break those connections,
 * and the callers would not know whether the request ran.
 */
const exitDelayMs = 500;

/** Creates the kernel of a process with the services that its roles need; nothing is started yet. */
export function createProcess(settings: ProcessSettings): { readonly kernel: Kernel; readonly logger: Logger; } {
    const { id, host, availabilityZone, logLevel, roles, dataFolder } = settings.process;
    const logger = createLogger("process", { host, availabilityZone }, logLevel);
    const kernel = createKernel(logger);
    kernel.registerService({
        key: linkKey,
        needs: [],
        start: openWebSocketLink(
            { self: id, listenHost: settings.listen.peerHost, listenPort: settings.listen.peerPort },
            logger.forService("link"),
        ),
    });
    if (roles.includes("control") && dataFolder !== undefined) {
        registerControl(kernel, settings, dataFolder, logger);
    }
    if (roles.includes("entry")) {
        kernel.registerService({
            key: entryKey,
            // In a process with both roles, the entry role starts after the control role and so is drained before it.
            needs: roles.includes("control") ? [linkKey, controlKey] : [linkKey],
            start: Effect.suspend(() =>
                startEntry(settings, {
                    link: kernel.findService(linkKey),
                    logger,
                    metrics: createMetrics(),
                })
            ),
            drain: entry => Effect.andThen(entry.drain, Effect.sleep(exitDelayMs)),
        });
    }
    return { kernel, logger };
}

/**
 * Fails with `serviceFailed` once the replica of this process has stopped; never ends in a process without the control role.
 * Closing the kernel stops the replica too, so that the wait is to end before that.
 */
export function awaitReplicaFailure(kernel: Kernel, settings: ProcessSettings): Effect.Effect<never, ErrorData> {
    return settings.process.roles.includes("control")
        ? awaitFailure(kernel.findService(logKey).log, logKey.name)
        : Effect.never;
}
