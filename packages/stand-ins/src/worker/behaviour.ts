import type { Resources } from "@chestnutspool/types";

/** How a simulated task behaves. */
export interface TaskBehaviour {
    /** Run time at full speed in milliseconds; undefined for a task that runs until it is stopped. */
    readonly runMs: number | undefined;
    /** True for a task that fails at the end of its run time. */
    readonly fails: boolean;
    /** Resources that the task reports as used; undefined to report its declared ones. */
    readonly used: Resources | undefined;
    /** Reported speed in percent of the speed that the task has alone on a worker; undefined when not measured. */
    readonly speedPercent: number | undefined;
}

function parseNumber(text: string | undefined): number | undefined {
    const value = text === undefined || text === "" ? Number.NaN : Number(text);
    return Number.isFinite(value) && value >= 0 ? value : undefined;
}

/**
 * Reads the behaviour from a command of `key=value` words: `run-ms`, `fails` (1), `milli-cpu`, `memory-mib`,
 * `accelerators`, `speed-percent`. Other words are ignored; without `run-ms` the task runs until it is stopped.
 */
export function parseTaskBehaviour(command: string): TaskBehaviour {
    const words = new Map(
        command.split(/\s+/).map(word => {
            const [key = "", value] = word.split("=", 2);
            return [key, value] as const;
        }),
    );
    const read = (key: string): number | undefined => parseNumber(words.get(key));
    const milliCpu = read("milli-cpu");
    const memoryMib = read("memory-mib");
    return {
        runMs: read("run-ms"),
        fails: read("fails") === 1,
        used: milliCpu === undefined && memoryMib === undefined
            ? undefined
            : { milliCpu: milliCpu ?? 0, memoryMib: memoryMib ?? 0, accelerators: read("accelerators") ?? 0 },
        speedPercent: read("speed-percent"),
    };
}
