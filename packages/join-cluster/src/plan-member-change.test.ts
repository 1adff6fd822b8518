import type { LogMember } from "@chestnutspool/types";
import assert from "node:assert/strict";
import { test } from "node:test";
import { planMemberChange, planSilentRemoval, replaceAfterNoContactMs } from "./plan-member-change.js";

function makeMember(id: string, changes: Partial<LogMember> = {}): LogMember {
    return { id, address: `${id}:1`, replicaIdentity: `identity of ${id}`, votes: true, ...changes };
}

const members = ["a", "b", "c"].map(id => makeMember(id));
const request = { member: { id: "d", address: "d:1" }, replicaIdentity: "identity of d" };

test("a new process becomes a learner, then a voter, and then needs no further change", () => {
    assert.deepEqual(planMemberChange(members, request), {
        kind: "addLearner",
        id: "d",
        address: "d:1",
        replicaIdentity: "identity of d",
    });
    const learning = [...members, makeMember("d", { votes: false })];
    assert.deepEqual(planMemberChange(learning, request), { kind: "promoteLearner", id: "d" });
    assert.equal(planMemberChange([...members, makeMember("d")], request), undefined);
});

test("a process that returns with an empty disk is removed before it is added again", () => {
    const returned = { member: { id: "c", address: "c:1" }, replicaIdentity: "another identity" };
    assert.deepEqual(planMemberChange(members, returned), { kind: "removeMember", id: "c" });
});

function makeReadSilence(...silent: readonly string[]): (member: string) => number {
    return member => silent.includes(member) ? replaceAfterNoContactMs + 1 : replaceAfterNoContactMs;
}

// Guards against a silent member that raises the majority for good once its successor votes.
test("a voter that is silent for long is removed from an even number of voters", () => {
    const joined = [...members, makeMember("d")];
    assert.equal(planSilentRemoval(joined, makeReadSilence()), undefined);
    assert.deepEqual(planSilentRemoval(joined, makeReadSilence("b")), { kind: "removeMember", id: "b" });
});

// Guards against a list that is left with a lost disk and too few others.
test("a silent voter stays in a list with an odd number of voters, also when a process without a vote has joined", () => {
    const learning = [...members, makeMember("d", { votes: false })];
    assert.equal(planSilentRemoval(members, makeReadSilence("b")), undefined);
    assert.equal(planSilentRemoval(learning, makeReadSilence("b")), undefined);
});

// Guards against a list that grows with each process that ends before it has a vote.
test("a silent member without a vote is removed", () => {
    const learning = [...members, makeMember("d", { votes: false })];
    assert.deepEqual(planSilentRemoval(learning, makeReadSilence("b", "d")), { kind: "removeMember", id: "d" });
});
