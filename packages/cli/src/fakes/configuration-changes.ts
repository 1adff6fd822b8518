import { OperatorService } from "@chestnutspool/schema";
import { createClient } from "@connectrpc/connect";
import assert from "node:assert/strict";
import { createEntryTransport } from "../call-entry.js";
import { awaitCondition } from "./await-condition.js";
import { runCommand } from "./run-command.js";

/** A change of the configuration that the system accepted. */
interface AcceptedChange {
    readonly revision: bigint;
    readonly value: string;
}

/** Changes the configuration repeatedly and checks that no process returns to an older revision. */
export interface ConfigurationChanges {
    readonly listAccepted: () => readonly AcceptedChange[];
    readonly awaitAccepted: (count: number) => Promise<void>;
    readonly stop: () => Promise<void>;
    /** Fails when an accepted change is missing or a process returned to an older revision. */
    readonly checkNeverReverted: () => Promise<void>;
}

const configurationKey = "counter";
const pauseMs = 100;

function createOperator(address: string) {
    return createClient(OperatorService, createEntryTransport(address));
}

/** Starts the changes; they continue through crashes of processes until they are stopped. */
export function startConfigurationChanges(addresses: readonly string[]): ConfigurationChanges {
    const accepted: AcceptedChange[] = [];
    const faults: string[] = [];
    const lastSeen = new Map<string, { process: string; revision: bigint; }>();
    let running = true;

    const changeOnce = async (ordinal: number): Promise<void> => {
        const value = String(ordinal);
        const environment = { CHESTNUTSPOOL_ENTRY: addresses.join(",") };
        const expected = String(accepted.at(-1)?.revision ?? 0n);
        const args = [
            "config",
            "set",
            `${configurationKey}=${value}`,
            "--expected-revision",
            expected,
            "--output",
            "json",
        ];
        const run = await runCommand([...args, "--timeout-ms", "60000"], environment);
        if (run.exitCode !== 0) {
            faults.push(`change ${value} based on revision ${expected}: ${run.errors}`);
            return;
        }
        accepted.push({ revision: BigInt((JSON.parse(run.output) as { revision: string; }).revision), value });
    };

    const checkRevision = async (address: string): Promise<void> => {
        const health = await createOperator(address).getHealth({}).catch(() => undefined);
        const before = lastSeen.get(address);
        if (health === undefined) {
            lastSeen.delete(address);
            return;
        }
        // A process that has just started has no revision yet; it is not ready and serves no requests.
        if (before !== undefined && health.configurationRevision < before.revision && health.ready) {
            faults.push(`${health.process} went from revision ${before.revision} to ${health.configurationRevision}`);
        }
        lastSeen.set(address, { process: health.process, revision: health.configurationRevision });
    };

    const loop = (async (): Promise<void> => {
        for (let ordinal = 1; running; ordinal += 1) {
            await changeOnce(ordinal);
            await Promise.all(addresses.map(checkRevision));
            await new Promise(resolve => setTimeout(resolve, pauseMs));
        }
    })();

    return {
        listAccepted: () => accepted,
        awaitAccepted: count =>
            awaitCondition(`${count} accepted changes`, () => accepted.length >= count || faults.length > 0),
        stop: async () => {
            running = false;
            await loop;
        },
        checkNeverReverted: async () => {
            assert.deepEqual(faults, []);
            const revisions = accepted.map(change => change.revision);
            assert.deepEqual(revisions, revisions.map((unused, index) => BigInt(index + 1)), "revisions without gaps");
            for (const address of addresses) {
                const { configuration, history } = await createOperator(address).getConfiguration({
                    historyLimit: 1000,
                });
                assert.equal(configuration?.revision, revisions.at(-1));
                assert.equal(configuration?.entries[configurationKey], accepted.at(-1)?.value);
                for (const change of accepted) {
                    const found = history.find(record => record.revision === change.revision);
                    assert.ok(
                        found === undefined || found.entries[configurationKey] === change.value,
                        `revision ${change.revision}`,
                    );
                }
            }
        },
    };
}
