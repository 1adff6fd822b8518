import { readFileSync } from "node:fs";

/** Clock ticks per second of /proc on Linux. */
const ticksPerSecond = 100;
const kibibytesPerMebibyte = 1_024;

/** Processor time and memory of a process at one moment. */
export interface ProcessUsage {
    readonly cpuMs: number;
    readonly residentMib: number;
}

/** Reads the usage of a process that this program started. */
export function readProcessUsage(processId: number): ProcessUsage {
    const stat = readFileSync(`/proc/${processId}/stat`, "utf8");
    // The second field is the command in parentheses and may contain spaces; the times are fields 14 and 15.
    const fields = stat.slice(stat.lastIndexOf(")") + 2).split(" ");
    const ticks = Number(fields[11]) + Number(fields[12]);
    const status = readFileSync(`/proc/${processId}/status`, "utf8");
    const resident = Number(/VmRSS:\s+(\d+)/.exec(status)?.[1] ?? 0);
    return { cpuMs: ticks * 1_000 / ticksPerSecond, residentMib: resident / kibibytesPerMebibyte };
}
