import { create } from "@bufbuild/protobuf";
import {
    type Directive as DirectiveMessage,
    DirectiveSchema,
    type EndedTask,
    type ResourceAmounts,
    ResourceAmountsSchema,
    type SyncRequest,
    TaskEnd,
    type TaskUsage,
} from "@chestnutspool/schema";
import type { ErrorData, Resources, TaskOutcome, UsageSample, WorkerDirective } from "@chestnutspool/types";
import { type Either, Left, Right } from "purify-ts";

/** The resources of a message; zero when it is absent. */
export function convertResources(message: ResourceAmounts | undefined): Resources {
    return {
        milliCpu: message?.milliCpu ?? 0,
        memoryMib: message?.memoryMib ?? 0,
        accelerators: message?.accelerators ?? 0,
    };
}

/** The message of resources; its fields cannot hold negative amounts. */
export function createResourceMessage(resources: Resources): ResourceAmounts {
    return create(ResourceAmountsSchema, { ...resources });
}

/** An attempt that a worker reports as ended. */
export interface EndedAttempt {
    readonly task: string;
    readonly token: number;
    readonly outcome: TaskOutcome;
    readonly reason: string;
    readonly checkpoint: string;
}

function mapTaskEnd(end: TaskEnd): TaskOutcome | undefined {
    switch (end) {
        case TaskEnd.SUCCEEDED:
            return "succeeded";
        case TaskEnd.FAILED:
            return "failed";
        case TaskEnd.STOPPED:
            return "stopped";
        case TaskEnd.UNSPECIFIED:
            return undefined;
    }
}

function convertEnded(message: EndedTask): EndedAttempt | undefined {
    const outcome = mapTaskEnd(message.end);
    const { task, reason, checkpoint } = message;
    return outcome === undefined ? undefined : { task, token: Number(message.token), outcome, reason, checkpoint };
}

/** The ended attempts of a sync. An unknown value of `end` is refused, because it could hide a failure. */
export function parseEnded(request: SyncRequest): Either<ErrorData, readonly EndedAttempt[]> {
    const ended = request.ended.flatMap(message => convertEnded(message) ?? []);
    if (ended.length < request.ended.length) {
        return Left({
            kind: "invalidArgument",
            field: "ended.end",
            seen: "no end",
            allowed: "succeeded, failed or stopped",
        });
    }
    return Right(ended);
}

/** A usage sample of a message. */
export function convertUsage(message: TaskUsage): UsageSample {
    return {
        task: message.task,
        token: Number(message.token),
        ageMs: message.ageMs,
        ...convertResources(message.used),
        speedPercent: message.speedPercent === 0 ? undefined : message.speedPercent,
    };
}

function createAction(directive: WorkerDirective, resources: Resources | undefined): DirectiveMessage["action"] {
    switch (directive.kind) {
        case "start":
            return create(DirectiveSchema, {
                action: {
                    case: "start",
                    value: {
                        command: directive.command,
                        resumeFrom: directive.resumeFrom ?? "",
                        checkpointIntervalMs: directive.checkpointIntervalMs ?? 0,
                        ...(resources === undefined ? {} : { resources: createResourceMessage(resources) }),
                    },
                },
            }).action;
        case "checkpoint":
            return create(DirectiveSchema, { action: { case: "checkpoint", value: {} } }).action;
        case "throttle":
            return create(DirectiveSchema, { action: { case: "throttle", value: { percent: directive.percent } } })
                .action;
        case "stop":
            return create(DirectiveSchema, { action: { case: "stop", value: {} } }).action;
    }
}

/** The message of a directive; `resources` are those that a started task may use. */
export function createDirectiveMessage(directive: WorkerDirective, resources: Resources | undefined): DirectiveMessage {
    const { task, token } = directive;
    return create(DirectiveSchema, { task, token: BigInt(token), action: createAction(directive, resources) });
}
