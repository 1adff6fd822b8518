import type { Logger } from "@chestnutspool/logger";
import type { ErrorData } from "@chestnutspool/types";
import { Cause, Effect, Exit, Scope } from "effect";

/** Name of a service together with the type of its interface. */
export interface ServiceKey<Api> {
    readonly name: string;
    /** Carries only the type of the interface; never set. */
    readonly api?: Api;
}

/** Defines the key under which a service is registered and found. */
export function defineService<Api>(name: string): ServiceKey<Api> {
    return { name };
}

/** A service to register with the kernel. */
export interface KernelService<Api> {
    readonly key: ServiceKey<Api>;
    /** Keys of the services that must start first. */
    readonly needs: readonly ServiceKey<unknown>[];
    /** Starts the service; resources added to the scope are released when the service stops. */
    readonly start: Effect.Effect<Api, ErrorData, Scope.Scope>;
    /** Finishes work in progress before the scope closes. */
    readonly drain?: (api: Api) => Effect.Effect<void>;
}

/** Registers services and runs them. */
export interface Kernel {
    readonly registerService: <Api>(service: KernelService<Api>) => void;
    /** Returns the interface of a running service; throws when it does not run, because that is a programming error. */
    readonly findService: <Api>(key: ServiceKey<Api>) => Api;
    /**
     * Starts all services, each after those it needs. When one fails to start, those already started are drained and
     * stopped.
     */
    readonly startAll: Effect.Effect<void, ErrorData>;
    /** Drains all services and then stops them, both in reverse order of start. */
    readonly stopAll: Effect.Effect<void>;
    /** Names of the running services in order of start. */
    readonly listRunning: () => readonly string[];
}

interface RunningService {
    readonly service: KernelService<unknown>;
    readonly api: unknown;
    readonly scope: Scope.Closeable;
}

function sortByNeeds(services: ReadonlyMap<string, KernelService<unknown>>): readonly KernelService<unknown>[] {
    const sorted: KernelService<unknown>[] = [];
    const state = new Map<string, "visiting" | "sorted">();
    const visit = (name: string, neededBy: string): void => {
        if (state.get(name) === "sorted") {
            return;
        }
        if (state.get(name) === "visiting") {
            throw new Error(`services need each other in a cycle at "${name}"; break the cycle`);
        }
        const service = services.get(name);
        if (service === undefined) {
            throw new Error(`service "${neededBy}" needs "${name}", which is not registered; register it first`);
        }
        state.set(name, "visiting");
        for (const need of service.needs) {
            visit(need.name, name);
        }
        state.set(name, "sorted");
        sorted.push(service);
    };
    for (const name of services.keys()) {
        visit(name, name);
    }
    return sorted;
}

/** Creates a kernel without services. */
export function createKernel(logger: Logger): Kernel {
    const registered = new Map<string, KernelService<unknown>>();
    const running: RunningService[] = [];

    const startService = Effect.fnUntraced(function*(service: KernelService<unknown>) {
        const scope = yield* Scope.make();
        const started = yield* Effect.exit(Scope.provide(service.start, scope));
        if (Exit.isFailure(started)) {
            yield* Scope.close(scope, Exit.void);
            const detail = Cause.pretty(started.cause);
            logger.error("service failed to start", { failed: service.key.name, detail });
            return yield* Effect.failCause(started.cause);
        }
        running.push({ service, api: started.value, scope });
        logger.debug("service started", { started: service.key.name });
    });

    const stopAll = Effect.gen(function*() {
        for (const { service, api } of running.toReversed()) {
            if (service.drain !== undefined) {
                yield* service.drain(api);
            }
        }
        while (running.length > 0) {
            const last = running.pop();
            if (last !== undefined) {
                yield* Scope.close(last.scope, Exit.void);
                logger.debug("service stopped", { stopped: last.service.key.name });
            }
        }
    });

    return {
        registerService: service => {
            if (registered.has(service.key.name)) {
                throw new Error(`service "${service.key.name}" is registered already; give each service its own name`);
            }
            registered.set(service.key.name, service as KernelService<unknown>);
        },
        findService: <Api>(key: ServiceKey<Api>) => {
            const found = running.find(entry => entry.service.key.name === key.name);
            if (found === undefined) {
                throw new Error(`service "${key.name}" does not run; list it in the needs of the service that uses it`);
            }
            return found.api as Api;
        },
        startAll: Effect.gen(function*() {
            for (const service of sortByNeeds(registered)) {
                yield* Effect.onError(startService(service), () => stopAll);
            }
        }),
        stopAll,
        listRunning: () => running.map(entry => entry.service.key.name),
    };
}
