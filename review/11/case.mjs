// Submissions that run once an hour for a year, handed in one after the other.
import { createClients, createId, createManifest, serviceName } from "../lib-3/client.mjs";
import { createFleet, createMachine } from "../lib-3/minion.mjs";
import { hasTrouble, runCase } from "../lib-3/record.mjs";
import { bounds, openSystem, sleep } from "../lib-3/system.mjs";

const minionCount = 8;
const submissionCount = 60;
/** Time between two submissions in milliseconds; the site has about seven submissions a second. */
const submissionPauseMs = 250;
const hourMs = 3_600_000;
/** Once an hour: for a year, or without the disruption for a day. */
const repeatCount = hasTrouble ? 8_760 : 24;
const step = { count: 1, cpu: 500, memMb: 500, estimatedMs: 800 };

await runCase(import.meta.dirname, async (record, onClose) => {
    const system = openSystem({
        recordEnd: (name, code, signal) => record("process ended by itself", { name, code, signal }),
    });
    const fleet = createFleet(record);
    const machines = [];
    onClose(async () => {
        machines.forEach(machine => machine.close());
        await system.close();
    });
    system.start();
    const clients = createClients(system, record);
    if (
        !await clients.configure(
            createManifest(1, [{ path: "/checks/", priority: 0 }, { path: "/reports/", priority: 2 }]),
        )
    ) {
        throw new Error("the first manifest was not acknowledged");
    }
    const controls = system.controls.map(({ ip }) => `${ip}:${system.controlPort}`);
    for (let index = 0; index < minionCount; index += 1) {
        const machine = createMachine(fleet, {
            name: `m-${index + 1}`,
            ip: system.minionIp(index),
            controls,
            service: serviceName,
            labels: ["a", `r1-${index % 4}`],
            describeTask: () => ({ ms: 800, cpu: step.cpu, memMb: step.memMb }),
        });
        machines.push(machine);
        await machine.start();
    }
    if (!await clients.awaitReady()) {
        throw new Error("the entries did not become ready");
    }
    await sleep(1_500);
    const accepted = [];
    const submit = async (prefix, job) => {
        const path = `${prefix}${createId()}`;
        const { status } = await clients.send("POST", path, job);
        if (status === 200) {
            accepted.push(path);
        }
        return path;
    };
    await submit("/checks/", { spec: "check", steps: [step] });
    if (accepted.length === 0) {
        throw new Error("the first submission was not accepted");
    }
    const startAtMs = Date.now() + hourMs;
    for (let sent = 0; sent < submissionCount; sent += 1) {
        await submit("/reports/", { spec: "report", steps: [step], repeatCount, startAtMs, intervalMs: hourMs });
        await sleep(submissionPauseMs);
    }
    record("traffic ended", { accepted: accepted.length });
    await sleep(bounds.finishS * 1_000);
    const findings = [];
    const answers = await Promise.all(accepted.map(path => clients.read(path, 12_000)));
    const unanswered = answers.filter(({ status }) => status !== 200);
    if (unanswered.length > 0) {
        findings.push(
            `LOST: ${unanswered.length} of ${accepted.length} accepted submissions get no state in the 12 s that begin `
                + `${bounds.finishS} s after the end of the traffic; last answers ${
                    [...new Set(unanswered.map(({ status }) => status))].join(" ")
                }`,
        );
    }
    const ended = system.controls.filter(({ ends }) => ends.length >= 3);
    if (ended.length * 2 > system.controls.length) {
        findings.push(
            `Fault: control processes ended by themselves: ${
                system.controls.map(({ name, ends }) => `${name} ${ends.length} times`).join(", ")
            }`,
        );
    }
    return findings;
});
