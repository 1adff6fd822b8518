import { describeError, mapErrorCode } from "@chestnutspool/errors";
import type { ErrorData, ErrorKind, NotRunReason } from "@chestnutspool/types";
import assert from "node:assert/strict";
import { readFileSync } from "node:fs";
import { join } from "node:path";
import { test } from "node:test";
import { commands } from "./commands/index.js";
import { exitCodes } from "./exit-codes.js";
import { mapErrorToFailure } from "./failure.js";

const docs = join(import.meta.dirname, "../../../docs");

type Samples = { readonly [Kind in ErrorKind]: Extract<ErrorData, { readonly kind: Kind; }>; };

/** One error of each kind; the compiler reports a kind that is missing. */
const samples: Samples = {
    invalidArgument: { kind: "invalidArgument", field: "FIELD", seen: "SEEN", allowed: "ALLOWED" },
    notFound: { kind: "notFound", object: "OBJECT", id: "ID" },
    revisionConflict: { kind: "revisionConflict", object: "OBJECT", expected: 3, actual: 4, changedBy: "ID" },
    requestIdReused: { kind: "requestIdReused", requestId: "ID" },
    capacityExceeded: { kind: "capacityExceeded", worker: "WORKER", resource: "milliCpu" },
    staleToken: { kind: "staleToken", subject: "SUBJECT", seen: 3, current: 4 },
    quotaExceeded: { kind: "quotaExceeded", tenant: "TENANT", resource: "milliCpu" },
    notLeader: { kind: "notLeader", leader: undefined },
    outcomeUnknown: { kind: "outcomeUnknown", subject: "SUBJECT" },
    stillRunning: { kind: "stillRunning", requestId: "ID", retryAfterMs: 100 },
    notRun: { kind: "notRun", reason: "queueFull", retryAfterMs: 100 },
    deadlineExceeded: { kind: "deadlineExceeded", state: "notSent" },
    minionFailed: { kind: "minionFailed", minion: "MINION", status: 500, detail: "DETAIL" },
    answerTruncated: { kind: "answerTruncated", expectedBytes: 10, receivedBytes: 4 },
    answerTooLarge: { kind: "answerTooLarge", limitBytes: 10 },
    answerNotKept: { kind: "answerNotKept", requestId: "ID", lengthBytes: 10 },
    peerUnavailable: { kind: "peerUnavailable", peer: "PEER" },
    timeout: { kind: "timeout", operation: "OPERATION", limitMs: 10 },
    frameTooLarge: { kind: "frameTooLarge", bytes: 20, limitBytes: 10 },
    sessionExpired: { kind: "sessionExpired", entry: "ENTRY" },
    storageFailed: { kind: "storageFailed", file: "FILE", detail: "DETAIL" },
    corruptRecord: { kind: "corruptRecord", file: "FILE", offset: 10, detail: "DETAIL" },
    membershipChangeInProgress: { kind: "membershipChangeInProgress", member: "MEMBER" },
    replicaNotMember: { kind: "replicaNotMember", replica: "REPLICA" },
    serviceFailed: { kind: "serviceFailed", service: "SERVICE", detail: "DETAIL" },
    invalidSettings: { kind: "invalidSettings", faults: ["FAULT"] },
    internal: { kind: "internal", detail: "DETAIL" },
};

const reasons: { readonly [Reason in NotRunReason]: true; } = {
    queueFull: true,
    deadlineTooShort: true,
    deadlineExceeded: true,
    noMinion: true,
    draining: true,
    noSession: true,
    quarantine: true,
    refusedByMinion: true,
    retryBudgetEmpty: true,
    noLeader: true,
    cancelled: true,
};

function listRows(page: string): readonly (readonly string[])[] {
    return readFileSync(join(docs, page), "utf8").split("\n").filter(line => line.startsWith("| `"))
        .map(line => line.slice(1, -1).split("|").map(cell => cell.trim().replaceAll("`", "")));
}

void test("docs/errors.md lists each error kind with the code and text that the program gives", () => {
    const rows = listRows("errors.md").filter(row => row.length === 5);
    const expected = Object.values(samples).map(error => [
        error.kind,
        mapErrorCode(error),
        String(mapErrorToFailure(error).exitCode),
        describeError(error),
    ]);
    assert.deepEqual(rows.map(row => row.slice(0, 4)), expected);
});

void test("docs/errors.md lists each reason of notRun", () => {
    const rows = listRows("errors.md").filter(row => row.length === 3);
    const describeReason = (reason: NotRunReason): string =>
        describeError({ kind: "notRun", reason, retryAfterMs: undefined }).replace("the request was not run: ", "");
    const names = Object.keys(reasons) as NotRunReason[];
    assert.deepEqual(rows.map(row => row.slice(0, 2)), names.map(reason => [reason, describeReason(reason)]));
});

void test("docs/operator-commands.md shows each command and each exit code", () => {
    const page = readFileSync(join(docs, "operator-commands.md"), "utf8");
    const headings = [...page.matchAll(/^## (.*)$/gm)].map(match => match[1]);
    assert.deepEqual(headings.slice(1), commands.map(command => command.form.split(" ")[0]));
    for (const command of commands) {
        for (const [form] of command.options) {
            assert.ok(page.includes(`\`${form}\``), `${command.form}: ${form}`);
        }
    }
    const codes = listRows("operator-commands.md").filter(row => /^\d$/.test(row[0] ?? "")).map(row => Number(row[0]));
    assert.deepEqual(codes, Object.values(exitCodes));
});
