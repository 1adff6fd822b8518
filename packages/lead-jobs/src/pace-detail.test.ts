import assert from "node:assert/strict";
import { test } from "node:test";
import { choosePaceDetail, paceIntervalMs } from "./pace-detail.js";

// Guards against a leader without processor time that spends it on changes of pace, so that starts come late and batch jobs earn less
// than their floor.
test("paces are coarse and planned half as often while the leader has no time left, and fine again once it has", () => {
    const delaysMs = [0, 5, 9, 6, 20, 5, 3, 7];
    let detail = choosePaceDetail("fine", 0);
    const chosen = delaysMs.map(delayMs => {
        detail = choosePaceDetail(detail, delayMs);
        return detail;
    });
    assert.deepEqual(chosen, ["fine", "fine", "coarse", "coarse", "coarse", "coarse", "fine", "fine"]);
    assert.equal(paceIntervalMs.coarse, 2 * paceIntervalMs.fine);
});
