import { describeError } from "@chestnutspool/errors";
import type { Logger } from "@chestnutspool/logger";
import type { Metrics } from "@chestnutspool/record-metrics";
import type { ChoiceRule } from "@chestnutspool/route-requests";
import type { EntryId, ErrorData, PeerLink, ProcessSettings } from "@chestnutspool/types";
import { Clock, Effect, type Scope } from "effect";

/** What all parts of the entry role share. */
export interface EntryContext {
    readonly settings: ProcessSettings;
    readonly self: EntryId;
    /** Id of this run of the process; a restarted process has another one. */
    readonly incarnation: string;
    readonly link: PeerLink;
    readonly logger: Logger;
    readonly metrics: Metrics;
    readonly choiceRule: ChoiceRule;
    /** Monotonic time in milliseconds. */
    readonly readNowMs: () => number;
    /** Scope of the entry role. */
    readonly scope: Scope.Scope;
    /** Runs an effect in the background until the entry role stops. */
    readonly runInBackground: (effect: Effect.Effect<void, ErrorData>) => void;
}

/** What `startEntry` needs besides the settings. */
export interface EntryServices {
    readonly link: PeerLink;
    readonly logger: Logger;
    readonly metrics: Metrics;
    /** Rule by which minions are chosen; `leastExpectedWait` by default, others for measurements. */
    readonly choiceRule?: ChoiceRule;
}

const nanosecondsPerMillisecond = 1_000_000;

/** Creates the context within the scope of the entry role. */
export const createEntryContext = Effect.fnUntraced(
    function*(settings: ProcessSettings, services: EntryServices, incarnation: string) {
        const scope = yield* Effect.scope;
        const clock = yield* Clock.Clock;
        const runFork = Effect.runForkWith(yield* Effect.context<never>());
        const logger = services.logger.forService("entry");
        const context: EntryContext = {
            settings,
            self: settings.process.id,
            incarnation,
            scope,
            link: services.link,
            logger,
            metrics: services.metrics,
            choiceRule: services.choiceRule ?? "leastExpectedWait",
            readNowMs: () => Number(clock.monotonicTimeNanosUnsafe()) / nanosecondsPerMillisecond,
            runInBackground: effect => {
                runFork(Effect.forkIn(
                    Effect.catch(
                        effect,
                        error =>
                            Effect.sync(() => logger.warn("background work failed", { detail: describeError(error) })),
                    ),
                    scope,
                ));
            },
        };
        return context;
    },
);
