import type {
    ErrorData,
    JobSpec,
    OperatorChange,
    Resources,
    ServiceSpec,
    WatchSpec,
    WorkSpec,
} from "@chestnutspool/types";

/** Maximum number of characters of a field's value that an error quotes. */
const seenLengthLimit = 80;
/** Maximum number of names in one bulk cancellation. */
const cancelLimit = 10_000;
const commandLengthLimit = 16_384;
const configurationValueLimit = 8_192;
/** Maximum declared run time: 31 days. */
const runTimeLimitMs = 2_678_400_000;
/** Maximum interval between checkpoints: one day. */
const checkpointIntervalLimitMs = 86_400_000;
const millisecondsLimit = Number.MAX_SAFE_INTEGER;

const namePattern = /^[a-z0-9-]{1,63}$/;
const labelPattern = /^[A-Za-z0-9._-]{1,63}$/;
const configurationKeyPattern = /^[A-Za-z0-9][A-Za-z0-9._/-]{0,127}$/;
const requestIdPattern = /^[\x21-\x7e]{1,128}$/;

type Fault = ErrorData | undefined;

/** Creates the error for a field whose value is not allowed. */
export function createFieldError(field: string, seen: unknown, allowed: string): ErrorData {
    const text = typeof seen === "string" ? JSON.stringify(seen) : String(seen);
    return {
        kind: "invalidArgument",
        field,
        seen: text.length > seenLengthLimit ? `${text.slice(0, seenLengthLimit)}...` : text,
        allowed,
    };
}

function checkInteger(field: string, seen: number, minimum: number, maximum: number): Fault {
    const isValid = Number.isSafeInteger(seen) && seen >= minimum && seen <= maximum;
    return isValid ? undefined : createFieldError(field, seen, `a whole number from ${minimum} to ${maximum}`);
}

function checkPattern(field: string, seen: string, pattern: RegExp, allowed: string): Fault {
    return typeof seen === "string" && pattern.test(seen) ? undefined : createFieldError(field, seen, allowed);
}

function checkLabel(field: string, seen: string): Fault {
    return checkPattern(field, seen, labelPattern, "1 to 63 letters, digits, dots, underscores and hyphens");
}

function findFirstFault(faults: readonly Fault[]): Fault {
    return faults.find(fault => fault !== undefined);
}

/** Maximum resource amounts of one worker or quota. */
const resourceLimits: Resources = { milliCpu: 1_000_000_000, memoryMib: 4_000_000_000, accelerators: 1_000_000 };

/** Checks resource amounts; `minimum` applies to processor time and memory. */
export function checkResources(field: string, seen: Resources, minimum: number): Fault {
    return findFirstFault([
        checkInteger(`${field}.milliCpu`, seen.milliCpu, minimum, resourceLimits.milliCpu),
        checkInteger(`${field}.memoryMib`, seen.memoryMib, minimum, resourceLimits.memoryMib),
        checkInteger(`${field}.accelerators`, seen.accelerators, 0, resourceLimits.accelerators),
    ]);
}

function checkService(spec: ServiceSpec): Fault {
    return findFirstFault([
        checkInteger("service.replicas", spec.replicas, 0, 10_000),
        checkInteger("service.maxRunMs", spec.maxRunMs, 1, 600_000),
    ]);
}

function checkJob(spec: JobSpec): Fault {
    return findFirstFault([
        checkInteger("job.tasks", spec.tasks, 1, 10_000),
        spec.deadlineAtMs === undefined
            ? undefined
            : checkInteger("job.deadlineAtMs", spec.deadlineAtMs, 1, millisecondsLimit),
        checkInteger("job.expectedRunMs", spec.expectedRunMs, 1, runTimeLimitMs),
        checkInteger("job.maxAttempts", spec.maxAttempts, 1, 100),
    ]);
}

function checkWatch(spec: WatchSpec): Fault {
    return checkInteger("watch.checkpointIntervalMs", spec.checkpointIntervalMs, 1, checkpointIntervalLimitMs);
}

function checkKind(spec: WorkSpec): Fault {
    switch (spec.kind) {
        case "service":
            return checkService(spec);
        case "job":
            return checkJob(spec);
        case "watch":
            return checkWatch(spec);
    }
}

function checkSpec(spec: WorkSpec): Fault {
    return findFirstFault([
        checkPattern("name", spec.name, namePattern, "1 to 63 lowercase letters, digits and hyphens"),
        checkLabel("tenant", spec.tenant),
        checkResources("resources", spec.resources, 1),
        checkLabel("interferenceClass", spec.interferenceClass),
        typeof spec.command === "string" && spec.command.length <= commandLengthLimit
            ? undefined
            : createFieldError("command", spec.command, `at most ${commandLengthLimit} characters`),
        checkKind(spec),
    ]);
}

function checkRevision(seen: number): Fault {
    return checkInteger("expectedRevision", seen, 0, Number.MAX_SAFE_INTEGER);
}

function checkConfigurationEntry(key: string, value: string): Fault {
    return findFirstFault([
        checkPattern(
            "entries key",
            key,
            configurationKeyPattern,
            "1 to 128 letters, digits, dots, underscores, slashes and hyphens, beginning with a letter or digit",
        ),
        typeof value === "string" && value.length <= configurationValueLimit
            ? undefined
            : createFieldError(`entries.${key}`, value, `at most ${configurationValueLimit} characters`),
    ]);
}

/** Checks the id of an operator's request. */
export function checkOperatorRequestId(seen: string): Fault {
    return checkPattern(
        "operatorRequestId",
        seen,
        requestIdPattern,
        "1 to 128 printable ASCII characters without spaces",
    );
}

/** Checks each field of a change, without looking at the state; returns the first fault with the allowed values. */
export function checkOperatorChange(change: OperatorChange): Fault {
    switch (change.kind) {
        case "applyWork":
            return checkRevision(change.expectedRevision) ?? checkSpec(change.spec);
        case "cancelWorks":
            return change.names.length >= 1 && change.names.length <= cancelLimit
                ? undefined
                : createFieldError("names", change.names.length, `1 to ${cancelLimit} names`);
        case "applyTenant":
            return findFirstFault([
                checkRevision(change.expectedRevision),
                checkLabel("tenant", change.tenant),
                checkResources("quota", change.quota, 0),
                checkInteger("weight", change.weight, 1, 1_000),
            ]);
        case "setConfiguration":
            return checkRevision(change.expectedRevision)
                ?? findFirstFault(
                    Object.entries(change.entries).map(([key, value]) => checkConfigurationEntry(key, value)),
                )
                ?? findFirstFault(
                    change.removedKeys.filter(key => Object.hasOwn(change.entries, key))
                        .map(key => createFieldError("removedKeys", key, "keys that are not in entries")),
                );
        case "setWorkerAdmission":
            return change.admission === "open" || change.admission === "draining"
                ? undefined
                : createFieldError("admission", change.admission, "open or draining");
        case "setZoneAdmission":
            return change.admission === "open" || change.admission === "evacuated"
                ? undefined
                : createFieldError("admission", change.admission, "open or evacuated");
        case "drainEntry":
            return undefined;
    }
}
