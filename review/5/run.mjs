import { ask } from "../lib/calls.mjs";
import { hasTrouble, listEvents, NotRun, runCase, startMinions, until } from "../lib/case.mjs";
import { bounds, sleep } from "../lib/system.mjs";

const minionCount = 8;
const runMs = 500;
const rareLabel = "b";
const count = 8;

await runCase(`${import.meta.dirname}/record.txt`, {}, async (system, note) => {
    const minions = await startMinions(system, minionCount - 1, { plan: () => ({ ms: runMs }) });
    const [rare] = await startMinions(system, 1, {
        first: minionCount,
        plan: () => ({ ms: runMs }),
        labels: [rareLabel, "r2"],
    });
    const listStarts = id =>
        listEvents([...minions, rare]).filter(({ kind, task }) => kind === "start" && task.startsWith(id));
    const submit = id =>
        ask(system, "POST", `/q/${id}`, {
            spec: "text",
            steps: [{ count: 1, cpu: 500, memMb: 256, estimatedMs: runMs, requiredLabel: rareLabel }],
        });
    if (hasTrouble) {
        rare.findRejection = path => path === "/api/run-start" ? 503 : undefined;
    }
    const ids = Array.from({ length: count }, (unused, index) => `${index + 1}`.repeat(16));
    for (const id of ids) {
        if ((await submit(id)).status !== 200) {
            throw new NotRun(`submission ${id} was not accepted`);
        }
    }
    // The value may be 2 s old, and the rule counts submissions that were accepted this long before.
    await sleep(bounds.visible_ms + 2_000 + 500);
    const notBegun = ids.filter(id => listStarts(id).length === 0);
    const { body } = await ask(system, "GET", "/q/");
    const stillNotBegun = notBegun.filter(id => listStarts(id).length === 0);
    note(`${stillNotBegun.length} submissions have not begun, pending is ${body.pending}`);
    for (const id of ids) {
        await ask(system, "GET", `/q/${id}`);
    }
    rare.findRejection = () => undefined;
    const haveRun = await until(10_000, () => ids.every(id => listStarts(id).length > 0));
    note(`once the minion is healthy, all have begun: ${haveRun}`);
    return body.pending < stillNotBegun.length / 2
        ? [`MIXED: pending is ${body.pending} while ${stillNotBegun.length} submissions have not begun for over 5 s`]
        : [];
});
