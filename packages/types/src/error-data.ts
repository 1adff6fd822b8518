import type { AttemptState, NotRunReason, PeerId } from "./domain.js";

/** Typed kinds of error, as plain data that crosses links; `describeError` of the errors package gives the text. */
export type ErrorData =
    | {
        readonly kind: "invalidArgument";
        readonly field: string;
        readonly seen: string;
        readonly allowed: string;
    }
    | { readonly kind: "notFound"; readonly object: string; readonly id: string; }
    | {
        readonly kind: "revisionConflict";
        readonly object: string;
        readonly expected: number;
        readonly actual: number;
        /** Operator request id of the change that was accepted instead. */
        readonly changedBy: string;
    }
    | { readonly kind: "requestIdReused"; readonly requestId: string; }
    | {
        readonly kind: "capacityExceeded";
        readonly worker: string;
        readonly resource: keyof import("./domain.js").Resources;
    }
    | { readonly kind: "staleToken"; readonly subject: string; readonly seen: number; readonly current: number; }
    | { readonly kind: "quotaExceeded"; readonly tenant: string; readonly resource: string; }
    | { readonly kind: "notLeader"; readonly leader: PeerId | undefined; }
    | { readonly kind: "outcomeUnknown"; readonly subject: string; }
    | { readonly kind: "stillRunning"; readonly requestId: string; readonly retryAfterMs: number; }
    | { readonly kind: "notRun"; readonly reason: NotRunReason; readonly retryAfterMs: number | undefined; }
    | { readonly kind: "deadlineExceeded"; readonly state: AttemptState; }
    | { readonly kind: "minionFailed"; readonly minion: string; readonly status: number; readonly detail: string; }
    | { readonly kind: "answerTruncated"; readonly expectedBytes: number; readonly receivedBytes: number; }
    | { readonly kind: "answerTooLarge"; readonly limitBytes: number; }
    | { readonly kind: "answerNotKept"; readonly requestId: string; readonly lengthBytes: number; }
    | { readonly kind: "peerUnavailable"; readonly peer: PeerId; }
    | { readonly kind: "timeout"; readonly operation: string; readonly limitMs: number; }
    | { readonly kind: "frameTooLarge"; readonly bytes: number; readonly limitBytes: number; }
    | { readonly kind: "sessionExpired"; readonly entry: string; }
    | {
        readonly kind: "storageFailed";
        readonly file: string;
        readonly detail: string;
        /** Set when the disk or a quota is full, so that the same write may succeed later. */
        readonly isFull?: true;
    }
    | { readonly kind: "corruptRecord"; readonly file: string; readonly offset: number; readonly detail: string; }
    | { readonly kind: "membershipChangeInProgress"; readonly member: PeerId; }
    | { readonly kind: "replicaNotMember"; readonly replica: PeerId; }
    | { readonly kind: "serviceFailed"; readonly service: string; readonly detail: string; }
    | { readonly kind: "invalidSettings"; readonly faults: readonly string[]; }
    | { readonly kind: "internal"; readonly detail: string; };

/** The kind of an error. */
export type ErrorKind = ErrorData["kind"];
