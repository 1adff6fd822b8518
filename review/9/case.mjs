import { awaitMs } from "../lib-2/await-ms.mjs";
import { Deployment } from "../lib-2/deployment.mjs";
import { formatWork } from "../lib-2/minion.mjs";
import { runCase } from "../lib-2/run-case.mjs";
import { createId } from "../lib-2/users.mjs";

/** Length of the freeze of one front; the site has freezes of 4 to 5 s. */
const freezeMs = 4_000;
/** `cancel_ms`, from the ack of a cancelling on. */
const cancelMs = 3_000;
/** Time from the cancelling until all steps of the submission would have ended. */
const watchedMs = 14_000;

const work = {
    spec: formatWork({ runMs: 4_000 }),
    steps: [
        { count: 2, cpu: 1_000, memMb: 256, estimatedMs: 4_000 },
        { count: 2, cpu: 1_000, memMb: 256, estimatedMs: 4_000, dependsOn: [0] },
    ],
};

await runCase(import.meta.dirname, async ({ system, record, hasTrouble }) => {
    const deployment = new Deployment({ system, record });
    await deployment.start({ controls: 3, entries: 2, services: Array.from({ length: 4 }, () => "advisory") });
    const { users, history } = deployment;
    await deployment.submit(createId(), work);

    const [frozen] = system.list("entry");
    const [frozenFront, otherFront] = system.listFrontAddresses();
    if (hasTrouble) {
        frozen.signal("SIGSTOP");
        setTimeout(() => frozen.signal("SIGCONT"), freezeMs);
    }
    // The client waits for its whole deadline, gives up and cancels at the other front.
    const id = createId();
    const submitted = await users.call(frozenFront, "POST", id, work);
    const cancelled = await users.call(otherFront, "DELETE", id);
    if (cancelled.status !== 200 && cancelled.status !== 410) {
        throw new Error("the cancelling was not acknowledged");
    }
    const acknowledgedMs = performance.now();
    await awaitMs(watchedMs);
    const shown = await users.call(otherFront, "GET", id);
    deployment.endMinions();
    const late = history.filter(run => run.task.startsWith(id) && run.startedMs > acknowledgedMs + cancelMs);
    record.write("summary", {
        submitted: submitted.status ?? submitted.failure,
        cancelled: cancelled.status,
        shown: shown.body?.state ?? shown.status,
        lateStarts: late.length,
    });
    return late.length === 0
        ? undefined
        : `UNASKED, ${late.length} tasks start later than cancel_ms after the cancelling was acknowledged`;
});
