import { ask } from "../lib/calls.mjs";
import { hasTrouble, listEvents, NotRun, runCase, startMinions, until } from "../lib/case.mjs";
import { bounds, sleep } from "../lib/system.mjs";

const gangId = "5c0e7a21d94b36f8";
const members = 10;
const gangMs = 4_000;
const shortMs = 300;
const minionCount = 8;
/** When the minion crashes after the last member has started, and for how long nothing listens at its address. */
const crashAfterMs = Number(process.env.CRASH_AFTER_MS ?? 300);
const downMs = 2_000;
/** Time for which the gang is watched after `finish_s`. */
const watchMs = 25_000;

function planTask(task) {
    return task.startsWith(gangId) ? { ms: gangMs, gang: members } : { ms: shortMs };
}

await runCase(`${import.meta.dirname}/record.txt`, {}, async (system, note) => {
    const minions = await startMinions(system, minionCount, { plan: planTask });
    const countMembers = () =>
        minions.reduce(
            (sum, { running }) => sum + [...running.keys()].filter(task => task.startsWith(gangId)).length,
            0,
        );
    const submit = (id, step) => ask(system, "POST", `/q/${id}`, { spec: "text", steps: [step] });
    const accepted = await submit(gangId, { count: members, cpu: 500, memMb: 256, estimatedMs: gangMs, gang: true });
    if (accepted.status !== 200) {
        throw new NotRun("the gang was not accepted");
    }
    if (!await until(10_000, () => countMembers() === members)) {
        throw new NotRun("the gang did not start");
    }
    if (hasTrouble) {
        await sleep(crashAfterMs);
        const host = minions.find(({ running }) => running.size > 0);
        host.crash();
        await sleep(downMs);
        await host.start();
    }
    const others = [];
    for (let index = 0; index < 8; index += 1) {
        others.push(`00000000000000${index}0`.padStart(16, "0"));
        await submit(others.at(-1), { count: 2, cpu: 500, memMb: 256, estimatedMs: shortMs });
        await sleep(500);
    }
    note("end of the traffic");
    await sleep(bounds.finish_s * 1_000);
    for (const id of others) {
        await ask(system, "GET", `/q/${id}`);
    }
    const watchedFromMs = performance.now();
    let lastRunMs = watchedFromMs;
    let state;
    while (performance.now() - watchedFromMs < watchMs && state !== "completed") {
        state = (await ask(system, "GET", `/q/${gangId}`)).body.state;
        lastRunMs = countMembers() > 0 ? performance.now() : lastRunMs;
        await sleep(500);
    }
    const idleMs = Math.round(performance.now() - lastRunMs);
    const running = minions.reduce((sum, minion) => sum + minion.running.size, 0);
    const starts = listEvents(minions).filter(({ kind, task }) => kind === "start" && task.startsWith(gangId)).length;
    note(`gang: state ${state}, ${starts} starts of its ${members} tasks, nothing running for the last ${idleMs} ms`);
    note(`${minions.length} minions are up and run ${running} tasks`);
    return state !== "completed" && idleMs > 3_000
        ? [`LOST: the accepted gang is ${state} and has had nothing running for ${idleMs} ms while all minions are idle`]
        : [];
});
