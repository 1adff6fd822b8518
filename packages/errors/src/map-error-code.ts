import type { ErrorData } from "@chestnutspool/types";

/** Status codes of Connect and gRPC that the system uses, in their wire spelling. */
export type RpcCode =
    | "invalid_argument"
    | "not_found"
    | "aborted"
    | "already_exists"
    | "resource_exhausted"
    | "unavailable"
    | "unknown"
    | "deadline_exceeded"
    | "data_loss"
    | "failed_precondition"
    | "internal";

/** The RPC status code of an error. */
export function mapErrorCode(error: ErrorData): RpcCode {
    switch (error.kind) {
        case "invalidArgument":
        case "frameTooLarge":
        case "invalidSettings":
            return "invalid_argument";
        case "notFound":
            return "not_found";
        case "revisionConflict":
        case "staleToken":
            return "aborted";
        case "requestIdReused":
            return "already_exists";
        case "capacityExceeded":
        case "quotaExceeded":
        case "answerTooLarge":
            return "resource_exhausted";
        case "notLeader":
        case "notRun":
        case "peerUnavailable":
        case "sessionExpired":
        case "stillRunning":
            return "unavailable";
        case "outcomeUnknown":
        case "minionFailed":
            return "unknown";
        case "deadlineExceeded":
        case "timeout":
            return "deadline_exceeded";
        case "answerTruncated":
        case "answerNotKept":
        case "corruptRecord":
            return "data_loss";
        case "membershipChangeInProgress":
        case "replicaNotMember":
            return "failed_precondition";
        case "storageFailed":
        case "serviceFailed":
        case "internal":
            return "internal";
    }
}
