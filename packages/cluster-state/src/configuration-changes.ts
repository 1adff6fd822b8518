import type { ConfigurationRecord, ErrorData, OperatorChange } from "@chestnutspool/types";
import { type Either, Left, Right } from "purify-ts";
import { createFieldError } from "./check-operator-change.js";
import { addEvent, type Model } from "./model.js";

/** Maximum number of revisions that are kept. */
const historyLimit = 1_000;
/** Size that the whole configuration must stay below, so that it always fits in one message to each process. */
const configurationLimitBytes = 65_536;

type SetConfiguration = Extract<OperatorChange, { readonly kind: "setConfiguration"; }>;

function mergeEntries(model: Model, change: SetConfiguration): Record<string, string> {
    const merged = new Map(Object.entries({ ...model.configuration.entries, ...change.entries }));
    for (const key of change.removedKeys) {
        merged.delete(key);
    }
    return Object.fromEntries(merged);
}

/** Sets and removes keys of the configuration; returns the new revision. */
export function setConfiguration(
    model: Model,
    change: SetConfiguration,
    changedBy: string,
): Either<ErrorData, number> {
    const current = model.configuration;
    if (change.expectedRevision !== current.revision) {
        return Left({
            kind: "revisionConflict",
            object: "configuration",
            expected: change.expectedRevision,
            actual: current.revision,
            changedBy: current.changedBy,
        });
    }
    const entries = mergeEntries(model, change);
    const sizeBytes = Buffer.byteLength(JSON.stringify(entries));
    if (sizeBytes >= configurationLimitBytes) {
        return Left(
            createFieldError("entries", `${sizeBytes} bytes`, `less than ${configurationLimitBytes} bytes in all`),
        );
    }
    const next: ConfigurationRecord = {
        revision: current.revision + 1,
        entries,
        changedBy,
        acceptedAtMs: model.clockMs,
    };
    model.configuration = next;
    model.configurationHistory.push(next);
    if (model.configurationHistory.length > historyLimit) {
        model.configurationHistory.shift();
    }
    addEvent(model, "configurationChanged", "configuration", `revision ${next.revision} by ${changedBy}`);
    return Right(next.revision);
}
