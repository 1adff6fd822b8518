import type { ProcessGroup, TestProcess } from "@chestnutspool/cli/fakes";
import { setTimeout as sleep } from "node:timers/promises";
import { uniformInt } from "pure-rand/distribution/uniformInt";
import type { RandomGenerator } from "pure-rand/types/RandomGenerator";

/** Faults that are injected into processes of the system. */
export type Fault = "kill" | "freeze" | "terminate";

const faults: readonly Fault[] = ["kill", "freeze", "terminate"];
const freezeMinMs = 500;
const freezeMaxMs = 6_000;
const pauseMinMs = 200;
const pauseMaxMs = 3_000;
const restartDelayMaxMs = 2_000;

/** Number of injected faults of each kind. */
export type FaultCounts = Record<Fault, number>;

async function injectFault(
    group: ProcessGroup,
    testProcess: TestProcess,
    fault: Fault,
    random: RandomGenerator,
): Promise<TestProcess> {
    switch (fault) {
        case "kill":
            await testProcess.kill();
            await sleep(uniformInt(random, 0, restartDelayMaxMs));
            return group.restart(testProcess.id);
        case "freeze":
            process.kill(testProcess.processId, "SIGSTOP");
            await sleep(uniformInt(random, freezeMinMs, freezeMaxMs));
            process.kill(testProcess.processId, "SIGCONT");
            return testProcess;
        case "terminate":
            await testProcess.terminate();
            return group.restart(testProcess.id);
    }
}

/** Injects faults into random processes, one at a time, until `isDone` returns true. */
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
        processes[index] = await injectFault(group, processes[index]!, fault, random);
        await sleep(uniformInt(random, pauseMinMs, pauseMaxMs));
    }
    return counts;
}
