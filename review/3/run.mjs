import { ask } from "../lib/calls.mjs";
import { hasTrouble, listEvents, NotRun, runCase, startMinions, until } from "../lib/case.mjs";
import { sleep } from "../lib/system.mjs";

const deadlyId = "5c0e7a21d94b36f8";
const task = `${deadlyId}.0.0.0`;
const runMs = 6_000;
/** When the task crashes its minion, after the start. */
const crashAfterMs = Number(process.env.CRASH_AFTER_MS ?? 4_000);
const downMs = 2_000;
const watchMs = 80_000;
/** After three minions have crashed under the task, three further starts break the rule. */
const crashesUntilLimit = 3;
const startsToBreak = 3;

await runCase(`${import.meta.dirname}/record.txt`, {}, async (system, note) => {
    const minions = await startMinions(system, 8, { plan: () => ({ ms: runMs }) });
    const { status } = await ask(system, "POST", `/q/${deadlyId}`, {
        spec: "text",
        steps: [{ count: 1, cpu: 500, memMb: 256, estimatedMs: runMs }],
    });
    if (status !== 200 || !await until(10_000, () => minions.some(({ running }) => running.has(task)))) {
        throw new NotRun("the submission did not start");
    }
    const endMs = performance.now() + watchMs;
    let state;
    while (performance.now() < endMs && state !== "failed" && state !== "completed") {
        const host = minions.find(({ isUp, running }) => isUp && running.has(task));
        const startedMs = host?.running.get(task).startedMs;
        if (hasTrouble && host !== undefined && performance.now() - startedMs >= crashAfterMs) {
            host.crash();
            setTimeout(() => void host.start(), downMs);
        }
        await sleep(20);
        if (Math.random() < 0.02) {
            state = (await ask(system, "GET", `/q/${deadlyId}`)).body.state;
        }
    }
    const events = listEvents(minions).filter(event => event.task === task);
    let crashes = 0;
    let startsAfterLimit = 0;
    for (const { kind } of events) {
        crashes += kind === "crashed" ? 1 : 0;
        startsAfterLimit += kind === "start" && crashes >= crashesUntilLimit ? 1 : 0;
    }
    note(`state ${state}; ${crashes} minions crashed under the task; ${startsAfterLimit} starts after the third crash`);
    return startsAfterLimit >= startsToBreak
        ? [`BUDGET: the task was started ${startsAfterLimit} times after ${crashesUntilLimit} minions had crashed under it`]
        : [];
});
