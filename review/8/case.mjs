import { awaitMs, awaitUntil } from "../lib-2/await-ms.mjs";
import { Deployment } from "../lib-2/deployment.mjs";
import { formatWork } from "../lib-2/minion.mjs";
import { runCase } from "../lib-2/run-case.mjs";
import { createId } from "../lib-2/users.mjs";

/** Machines 0 to 2 are the pool that is given up, the others the pool that takes its place. */
const oldMachines = [0, 1, 2];
const services = [...oldMachines.map(() => "old-pool"), ...Array.from({ length: 7 }, () => "new-pool")];
/** Time from the change of the manifest until the first minion leaves; `configApplyMs` is 2,000. */
const changedMs = 3_000;
/** Time for which a minion serves after its draining was acknowledged: `drainMs` and a little longer. */
const lingerMs = 2_500;
const drainLimitMs = 5_000;
/** Time between two minions that leave. */
const betweenMs = 5_000;
/** Time from the last run of a task that lasts, and for how long it may have no run after that. */
const restartMs = 6_000;
const stuckMs = 3_000;

const watch = {
    spec: formatWork({ runMs: null }),
    steps: [{ count: 2, cpu: 1_000, memMb: 1_024, estimatedMs: 300, longRunning: true }],
};
const check = {
    spec: formatWork({ runMs: 300 }),
    steps: [{ count: 1, cpu: 1_000, memMb: 256, estimatedMs: 300 }],
};

await runCase(import.meta.dirname, async ({ system, record, hasTrouble }) => {
    const deployment = new Deployment({ system, record });
    await deployment.start({ controls: 3, entries: 1, services });
    const { users, minions, history } = deployment;
    const id = createId();
    await deployment.submit(id, watch);
    await awaitUntil(() => deployment.listRunning(id).length === 2, 10_000, "the start of the watch");
    await awaitMs(2_000);

    if (hasTrouble) {
        // The queue moves to the other pool, whose minions are up and empty; then the minions of the old one leave in turn.
        await deployment.putManifest({ version: 4, service: "new-pool" });
        await awaitMs(changedMs);
        for (const machine of oldMachines) {
            const minion = minions[machine];
            if (!await minion.drain(drainLimitMs)) {
                throw new Error(`the draining of ${minion.id} was not acknowledged`);
            }
            await awaitMs(lingerMs);
            await minion.announceEnd();
            minion.end("left");
            await awaitMs(betweenMs);
        }
    }
    await awaitMs(restartMs + stuckMs);
    const [front] = system.listFrontAddresses();
    const probe = createId();
    await users.submit(probe, check);
    await awaitUntil(() => history.some(({ task }) => task.startsWith(probe)), 5_000, "the start of new work");
    await awaitMs(restartMs);
    const running = deployment.listRunning(id).length;
    const { body } = await users.call(front, "GET", id);
    record.write("summary", {
        running,
        shown: body?.state,
        newWorkRanOn: history.find(({ task }) => task.startsWith(probe)).minion,
    });
    deployment.endMinions();
    return running === 2 ? undefined : `LOST, ${2 - running} of 2 tasks that last have no run`;
});
