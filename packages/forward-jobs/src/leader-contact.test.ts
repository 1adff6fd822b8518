import assert from "node:assert/strict";
import { test } from "node:test";
import {
    computeRetryMs,
    computeSilenceMs,
    createLeaderContact,
    decideHold,
    recordCall,
    recordCallEnd,
    recordLeader,
} from "./leader-contact.js";

// Guards against refusals by a leader that answers slowly, but answers.
test("a leader that has answered any call since is not silent", () => {
    const contact = createLeaderContact();
    recordCall(contact, "a", 0);
    recordCall(contact, "a", 100);
    recordCallEnd(contact, "a", true, 1_400);
    assert.equal(computeSilenceMs(contact, 2_000), 600);
    assert.equal(decideHold(contact, true, 0, 2_000).kind, "hold");
});

// Guards against refusals for the silence of an earlier leader.
test("a new leader starts without unanswered calls", () => {
    const contact = createLeaderContact();
    recordCall(contact, "a", 0);
    assert.equal(decideHold(contact, false, 0, 5_000).kind, "hold");
    assert.deepEqual(decideHold(contact, true, 0, 5_000), { kind: "hold", isProbe: true });
    recordLeader(contact, "b", 5_000);
    recordCallEnd(contact, "a", false, 5_100);
    assert.deepEqual(decideHold(contact, true, 0, 5_200), { kind: "hold", isProbe: false });
});

// Guards against refusals for one lost call long ago on a process with little traffic.
test("a call that ended without an answer is forgotten when no other call follows", () => {
    const contact = createLeaderContact();
    recordCall(contact, "a", 0);
    recordCallEnd(contact, "a", false, 400);
    assert.equal(computeSilenceMs(contact, 10_000), 0);
    recordCall(contact, "a", 10_000);
    assert.equal(computeSilenceMs(contact, 10_100), 100);
});

// Guards against refused callers who all come back at the same moment.
test("callers come back at times that differ by their request's id, the same on each run", () => {
    const times = Array.from({ length: 200 }, (empty, number) => computeRetryMs(`job${number}`));
    assert.ok(times.every(time => time >= 500 && time <= 2_000));
    const early = times.filter(time => time <= 1_000).length;
    assert.ok(early > 40 && early < 100, `${early} of 200 come back within a second`);
    assert.equal(computeRetryMs("job1"), computeRetryMs("job1"));
});
