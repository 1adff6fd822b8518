import type { ProcessGroup, TestProcess } from "@chestnutspool/cli/fakes";
import { setTimeout as sleep } from "node:timers/promises";
import { uniformInt } from "pure-rand/distribution/uniformInt";
import type { RandomGenerator } from "pure-rand/types/RandomGenerator";

/** A fault that is caused in a process of the system. */
export type Fault = "kill" | "freeze" | "terminate";

const faults: readonly Fault[] = ["kill", "freeze", "terminate"];
const freezeMinMs = 500;
const freezeMaxMs = 6_000;
const pauseMinMs = 200;
const pauseMaxMs = 3_000;
const downMaxMs = 2_000;

/** How often each fault was caused. */
export type FaultCounts = Record<Fault, number>;

async function causeFault(
    group: ProcessGroup,
    victim: TestProcess,
    fault: Fault,
    random: RandomGenerator,
): Promise<TestProcess> {
    switch (fault) {
        case "kill":
            await victim.kill();
            await sleep(uniformInt(random, 0, downMaxMs));
            return group.restart(victim.id);
        case "freeze":
            process.kill(victim.processId, "SIGSTOP");
            await sleep(uniformInt(random, freezeMinMs, freezeMaxMs));
            process.kill(victim.processId, "SIGCONT");
            return victim;
        case "terminate":
            await victim.terminate();
            return group.restart(victim.id);
    }
}

/** Causes faults in random processes, one at a time, until `isDone` says so. */
export async function injectFaults(
    group: ProcessGroup,
    random: RandomGenerator,
    isDone: () => boolean,
): Promise<FaultCounts> {
    const counts: FaultCounts = { kill: 0, freeze: 0, terminate: 0 };
    const processes = [...group.controls, ...group.entries];
    while (!isDone()) {
        const index = uniformInt(random, 0, processes.length - 1);
        const fault = faults[uniformInt(random, 0, faults.length - 1)]!;
        counts[fault] += 1;
        processes[index] = await causeFault(group, processes[index]!, fault, random);
        await sleep(uniformInt(random, pauseMinMs, pauseMaxMs));
    }
    return counts;
}
