import { runProgram } from "../program.js";

/** What a command line printed and how it ended. */
export interface CommandRun {
    readonly exitCode: number;
    readonly output: string;
    readonly errors: string;
}

/** Runs a command line within this process. */
export async function runCommand(
    args: readonly string[],
    environment: Readonly<Record<string, string>> = {},
): Promise<CommandRun> {
    const output: string[] = [];
    const errors: string[] = [];
    const exitCode = await runProgram(["node", "chestnutspool", ...args], {
        environment,
        writeLine: line => output.push(line + "\n"),
        writeBytes: bytes => output.push(Buffer.from(bytes).toString("latin1")),
        writeErrorLine: line => errors.push(line + "\n"),
    });
    return { exitCode, output: output.join(""), errors: errors.join("") };
}
