import { ask } from "../lib/calls.mjs";
import { hasTrouble, listEvents, runCase, startMinions } from "../lib/case.mjs";
import { bounds, sleep } from "../lib/system.mjs";

const count = 6;
const runMs = 500;

/** Draws an id of 16 hexadecimal digits, as a client does that prints them in capitals or not. */
function drawId(isUpperCase) {
    const digits = Array.from({ length: 15 }, () => Math.floor(Math.random() * 16).toString(16)).join("");
    const id = `a${digits}`;
    return isUpperCase ? id.toUpperCase() : id;
}

await runCase(`${import.meta.dirname}/record.txt`, { entries: 2 }, async (system, note) => {
    const minions = await startMinions(system, 4, { plan: () => ({ ms: runMs }) });
    const accepted = [];
    for (let index = 0; index < count; index += 1) {
        const id = drawId(hasTrouble);
        const step = { count: 2, cpu: 500, memMb: 256, estimatedMs: runMs };
        const { status } = await ask(
            system,
            "POST",
            `/q/${id}`,
            { spec: `text ${id}`, steps: [step] },
            system.entry[index % 2],
        );
        if (status >= 200 && status < 300) {
            accepted.push(id);
        }
        await sleep(300);
    }
    note(`end of the traffic: ${accepted.length} of ${count} submissions were accepted`);
    await sleep(bounds.finish_s * 1_000);
    const findings = [];
    for (const id of accepted) {
        const { status, body } = await ask(system, "GET", `/q/${id}`);
        const starts = listEvents(minions).filter(({ kind, task }) => kind === "start" && task.startsWith(id)).length;
        note(`${id}: status ${status}, state ${body.state}, ${starts} starts`);
        if (body.state === undefined && starts === 0) {
            findings.push(`LOST: submission ${id} was accepted, has no state and none of its tasks has ever started`);
        }
    }
    return findings;
});
