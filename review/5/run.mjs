import { ask } from "../lib/calls.mjs";
import { hasTrouble, listEvents, NotRun, runCase, startMinions, until } from "../lib/case.mjs";
import { sleep } from "../lib/system.mjs";

const id = "5c0e7a21d94b36f8";
const count = 6;
const cpu = 2_000;
const mayMiss = 1;
const watchMs = 20_000;

await runCase(import.meta.dirname, {}, async (system, note) => {
    const minions = await startMinions(system, 8, { plan: () => ({ lasts: true, saves: true, reading: cpu }) });
    const step = { count, cpu, memMb: 1_000, estimatedMs: 500, longRunning: true, checkpointing: true, mayMiss };
    const { status } = await ask(system, "POST", `/q/${id}`, {
        spec: "text",
        steps: [hasTrouble ? { ...step, fills: true } : step],
    });
    const countAtWork = () => minions.reduce((sum, { running }) => sum + running.size, 0);
    if (status !== 200 || !await until(10_000, () => countAtWork() === count)) {
        throw new NotRun("the submission did not start");
    }
    note("all tasks are at work; no disruption follows");
    await sleep(watchMs);
    let away = new Set();
    const findings = [];
    for (const { kind, task, minion, run } of listEvents(minions)) {
        if (kind === "stopped") {
            if (away.size >= mayMiss) {
                findings.push(`AVAIL: ${minion} is told to stop ${task} run ${run} while ${away.size} others are away`);
            }
            away.add(task);
        }
        else if (kind === "start") {
            away.delete(task);
        }
    }
    const stops = listEvents(minions).filter(({ kind }) => kind === "stopped").length;
    note(`${stops} stops in ${watchMs} ms; ${findings.length} of them while ${mayMiss} or more other tasks were away`);
    return findings;
});
