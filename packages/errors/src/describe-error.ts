import type { ErrorData, NotRunReason } from "@chestnutspool/types";

function describeRetry(retryAfterMs: number | undefined): string {
    return retryAfterMs === undefined ? "" : `; retry after ${retryAfterMs} ms`;
}

function describeNotRunReason(reason: NotRunReason): string {
    switch (reason) {
        case "queueFull":
            return "the queue of its class is full";
        case "deadlineTooShort":
            return "it cannot finish before its deadline at the present load";
        case "deadlineExceeded":
            return "its deadline passed while it was queued";
        case "noMinion":
            return "no minion of the service accepts work";
        case "draining":
            return "the entry host is shutting down";
        case "noSession":
            return "the entry host has no session with the control leader";
        case "quarantine":
            return "its key shard moved after the loss of an entry host";
        case "refusedByMinion":
            return "the minion refused to start it";
        case "retryBudgetEmpty":
            return "the retry budget is used up";
        case "noLeader":
            return "there is no control leader to record it";
        case "cancelled":
            return "the caller cancelled it before it was sent";
    }
}

/** Describes an error for people; the text ends with the remedy. */
export function describeError(error: ErrorData): string {
    switch (error.kind) {
        case "invalidArgument":
            return `${error.field} is ${error.seen}; allowed is ${error.allowed}; correct the field and send again`;
        case "notFound":
            return `there is no ${error.object} "${error.id}"; list the existing ones and check the name`;
        case "revisionConflict":
            return `${error.object} has revision ${error.actual}, not ${error.expected}; it was changed by operator request `
                + `"${error.changedBy}"; read it again and base the change on the present revision`;
        case "requestIdReused":
            return `request id "${error.requestId}" was used with another body; use a new id for a new request`;
        case "capacityExceeded":
            return `worker ${error.worker} has too little ${error.resource} left; the scheduler will choose another worker`;
        case "staleToken":
            return `${error.subject} was addressed with token ${error.seen}, the current one is ${error.current}; `
                + "drop the stale attempt";
        case "quotaExceeded":
            return `tenant ${error.tenant} has used its quota of ${error.resource}; wait for running tasks or raise the quota`;
        case "notLeader":
            return error.leader === undefined
                ? "this replica is not the leader and knows none; retry after the election"
                : `this replica is not the leader; send the call to ${error.leader}`;
        case "outcomeUnknown":
            return `the outcome of ${error.subject} is not known; resend it with the same id to learn the outcome`;
        case "stillRunning":
            return `request "${error.requestId}" is still running; resend it with the same id after ${error.retryAfterMs} ms`;
        case "notRun":
            return `the request was not run: ${describeNotRunReason(error.reason)}${describeRetry(error.retryAfterMs)}`;
        case "deadlineExceeded":
            return error.state === "notSent"
                ? "the deadline passed and the request was not run; allow a longer deadline"
                : "the deadline passed and the request may have run; resend it with the same id to learn the outcome";
        case "minionFailed":
            return `minion ${error.minion} failed with status ${error.status}: ${error.detail}; check the minion's log`;
        case "answerTruncated":
            return `the answer ended after ${error.receivedBytes} of ${error.expectedBytes} bytes; discard it and resend the `
                + "request with the same id";
        case "answerTooLarge":
            return `the answer is larger than ${error.limitBytes} bytes; use SubmitStream or ask for less`;
        case "answerNotKept":
            return `request "${error.requestId}" has run, but its answer of ${error.lengthBytes} bytes was not kept; `
                + "read the result from the service itself";
        case "peerUnavailable":
            return `there is no link to ${error.peer}; check that the process runs and that its peer address is right`;
        case "timeout":
            return `${error.operation} did not end within ${error.limitMs} ms; retry, and check the load if it happens again`;
        case "frameTooLarge":
            return `a message of ${error.bytes} bytes exceeds the limit of ${error.limitBytes}; send less at a time`;
        case "sessionExpired":
            return `the session of entry host ${error.entry} has expired; it is opened again once control is reachable`;
        case "storageFailed":
            return `file ${error.file} could not be used: ${error.detail}; check the disk and its free space, then restart`;
        case "corruptRecord":
            return `file ${error.file} is damaged at byte ${error.offset}: ${error.detail}; move the data folder away and let the `
                + "replica join again as a new member";
        case "membershipChangeInProgress":
            return `the change of member ${error.member} is not complete; wait for it, then retry`;
        case "replicaNotMember":
            return `replica ${error.replica} is not in the member list under its present identity; remove the old member and `
                + "admit the new one with 'members add'";
        case "serviceFailed":
            return `service ${error.service} failed: ${error.detail}; correct the cause and restart the process`;
        case "invalidSettings":
            return `the settings have ${error.faults.length} faults: ${error.faults.join("; ")}`;
        case "internal":
            return `internal error: ${error.detail}; report it with the log lines around it`;
    }
}

/** Whether an error means that the request was certainly not run. */
export function isCertainlyNotRun(error: ErrorData): boolean {
    return error.kind === "notRun" || (error.kind === "deadlineExceeded" && error.state === "notSent")
        || error.kind === "invalidArgument" || error.kind === "requestIdReused";
}
