import { awaitMs } from "./await-ms.mjs";
import { Minion } from "./minion.mjs";
import { createManifest, Users } from "./users.mjs";

const host = "desk.example";
const pathPrefix = "/watch/";
/** Time in which a new deployment must take its first manifest and submission, in milliseconds. */
const startLimitMs = 20_000;
/** Time until all minions have sent pings and hold leases, in milliseconds. */
const settleMs = 3_000;
/** Size of a machine of the site, thousandths of a core and megabytes. */
export const minionCapacity = { cpu: 32_000, memMb: 128_000, gpu: 0 };
const minionPort = 8_080;
const firstMinionAddress = 101;
const machinesPerRack = 6;

/** A small deployment with its users and minions; the first manifest is acknowledged and the minions are up. */
export class Deployment {
    /** One entry for each run that a minion has started. */
    history = [];
    /** The present life of each machine. */
    minions = [];
    #lives = [];
    #services = [];

    constructor({ system, record }) {
        Object.assign(this, { system, record });
        this.users = new Users({ system, record, host, pathPrefix });
    }

    /** `services` names the service of each machine; the first one serves the queue. */
    async start({ controls, entries, services, maxAttempts = 3 }) {
        this.#services = services;
        this.system.startAll({ controls, entries });
        if (!await this.putManifest({ version: 1, service: services[0], maxAttempts }, startLimitMs)) {
            throw new Error("the first manifest was not acknowledged");
        }
        await Promise.all(services.map((service, index) => this.startMinion(index)));
        await awaitMs(settleMs);
    }

    /** Sends a manifest in which `service` serves the queue. */
    putManifest({ version, service, maxAttempts = 3 }, limitMs = startLimitMs) {
        const services = [...new Set(this.#services)];
        const manifest = createManifest({ version, host, pathPrefix, service, services, maxAttempts });
        return this.users.putManifest(manifest, limitMs);
    }

    /** Starts the next life of a machine, which has a new id. */
    async startMinion(index) {
        this.#lives[index] = (this.#lives[index] ?? 0) + 1;
        const minion = new Minion({
            id: `i-${index + 1}-${this.#lives[index]}`,
            ip: this.system.address(firstMinionAddress + index),
            port: minionPort,
            service: this.#services[index],
            labels: ["a", `r1-${1 + Math.floor(index / machinesPerRack)}`],
            capacity: minionCapacity,
            history: this.history,
            record: this.record,
            listControls: () => this.system.listControlAddresses(),
        });
        await minion.start();
        this.minions[index] = minion;
    }

    /** Hands a submission in until it is accepted. */
    async submit(id, body) {
        if (!await this.users.submit(id, body, startLimitMs)) {
            throw new Error(`submission ${id} was not accepted`);
        }
    }

    /** Lists the runs in progress, of one submission if `id` is given. */
    listRunning(id = "") {
        return this.minions.flatMap(minion => minion.listRunning()).filter(({ task }) => task.startsWith(id));
    }

    endMinions() {
        this.minions.forEach(minion => minion.end("the case ends"));
    }
}
