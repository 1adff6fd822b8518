import { writeFileSync } from "node:fs";
import { makeManifest, sendManifest } from "./calls.mjs";
import { Minion } from "./minion.mjs";
import { sleep, startSystem } from "./system.mjs";

/** Whether the disruption takes place. */
export const hasTrouble = process.env.TROUBLE !== "0";

/** The case could not run. */
export class NotRun extends Error {}

/**
 * Starts a small deployment, runs a case on it, writes its record to a file and exits: 1 if `run`
 * returns findings, 0 if it returns none, 2 if the case could not run.
 */
export async function runCase(recordFile, { controls = 3, entries = 1, maxAttempts = 3, prefixes = ["/q/"] }, run) {
    const startedMs = performance.now();
    const lines = [];
    const note = text => lines.push(`${((performance.now() - startedMs) / 1_000).toFixed(3).padStart(8)} ${text}`);
    let code = 2;
    let system;
    const watchdog = setTimeout(() => finish("the case takes too long", 2), 115_000);
    const finish = (text, status) => {
        clearTimeout(watchdog);
        note(text);
        system?.close();
        writeFileSync(recordFile, `${lines.join("\n")}\n`);
        console.log(text);
        process.exit(status);
    };
    try {
        note(`trouble: ${hasTrouble}`);
        system = await startSystem({ controls, entries, note });
        if (!await sendManifest(system, makeManifest(1, prefixes, { maxAttempts }))) {
            throw new NotRun("the manifest was not acknowledged");
        }
        const findings = await run(system, note);
        findings.forEach(finding => note(`BROKEN ${finding}`));
        code = findings.length > 0 ? 1 : 0;
        finish(code === 1 ? `rule broken: ${findings[0]}` : "rule held", code);
    }
    catch (error) {
        finish(`the case could not run: ${error.stack}`, 2);
    }
}

/** Waits until a condition holds; false if it does not within the limit. */
export async function until(limitMs, condition) {
    const endMs = performance.now() + limitMs;
    while (performance.now() < endMs) {
        if (await condition()) {
            return true;
        }
        await sleep(50);
    }
    return false;
}

/** Starts `count` minions and waits until the leader has had time to reach them. */
export async function startMinions(system, count, options) {
    const minions = [];
    const { first = 1, ...others } = options;
    for (let number = first; number < first + count; number += 1) {
        const minion = new Minion(system, { name: `m${number}`, ip: `${system.network}.${40 + number}`, ...others });
        await minion.start();
        minions.push(minion);
    }
    await sleep(4_000);
    return minions;
}

/** Lists all events of the minions in the order of time. */
export function listEvents(minions) {
    return minions.flatMap(({ events }) => events).sort((left, right) => left.atMs - right.atMs);
}
