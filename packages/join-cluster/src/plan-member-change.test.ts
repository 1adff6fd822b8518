import type { LogMember } from "@chestnutspool/types";
import assert from "node:assert/strict";
import { test } from "node:test";
import { planMemberChange, replaceAfterNoContactMs } from "./plan-member-change.js";

function makeMember(id: string, changes: Partial<LogMember> = {}): LogMember {
    return { id, address: `${id}:1`, replicaIdentity: `identity of ${id}`, votes: true, ...changes };
}

const members = ["a", "b", "c"].map(id => makeMember(id));
const request = { member: { id: "d", address: "d:1" }, replicaIdentity: "identity of d" };
const readNoSilence = (): number => 0;

test("a new process becomes a learner, then a voter, and then needs no further change", () => {
    assert.deepEqual(planMemberChange(members, request, readNoSilence), {
        kind: "addLearner",
        id: "d",
        address: "d:1",
        replicaIdentity: "identity of d",
    });
    const learning = [...members, makeMember("d", { votes: false })];
    assert.deepEqual(planMemberChange(learning, request, readNoSilence), { kind: "promoteLearner", id: "d" });
    assert.equal(planMemberChange([...members, makeMember("d")], request, readNoSilence), undefined);
});

test("a process that returns with an empty disk is removed before it is added again", () => {
    const returned = { member: { id: "c", address: "c:1" }, replicaIdentity: "another identity" };
    assert.deepEqual(planMemberChange(members, returned, readNoSilence), { kind: "removeMember", id: "c" });
});

test("a member that is silent for long is removed when a new process joins, and only then", () => {
    const readSilence = (member: string): number => member === "b" ? replaceAfterNoContactMs + 1 : 0;
    assert.deepEqual(planMemberChange(members, request, readSilence), { kind: "removeMember", id: "b" });
    const known = { member: { id: "a", address: "a:1" }, replicaIdentity: "identity of a" };
    assert.equal(planMemberChange(members, known, readSilence), undefined);
});
