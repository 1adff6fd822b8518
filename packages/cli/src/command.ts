import type { Effect } from "effect";
import type { ExitCode } from "./exit-codes.js";
import type { CliFailure } from "./failure.js";

/** What a command reads from and writes to. */
export interface CommandIo {
    readonly environment: Readonly<Record<string, string | undefined>>;
    readonly writeLine: (line: string) => void;
    readonly writeBytes: (bytes: Uint8Array) => void;
    readonly writeErrorLine: (line: string) => void;
}

/** The parsed command line of one command. */
export interface CommandInput {
    readonly io: CommandIo;
    /** Arguments after the command's name. */
    readonly args: readonly string[];
    /** All values of an option, as typed. */
    readonly readTexts: (option: string) => readonly string[];
    readonly hasFlag: (option: string) => boolean;
}

/** An option: its form as cac takes it, for example `--tenant <tenant>`, and its meaning. */
export type CommandOption = readonly [form: string, meaning: string];

/** A command of the program. */
export interface CliCommand {
    /** Name and arguments as cac takes them, for example `get <name>`. */
    readonly form: string;
    /** Another name for the command. */
    readonly alias?: string;
    readonly description: string;
    readonly options: readonly CommandOption[];
    /** Command lines without the program's name. */
    readonly examples: readonly string[];
    readonly run: (input: CommandInput) => Effect.Effect<ExitCode, CliFailure>;
}

/** All values of an option in an argument list. cac turns values that look like numbers into numbers, so that ids change. */
export function listOptionValues(rawArgs: readonly string[], option: string): readonly string[] {
    const flag = `--${option}`;
    return rawArgs.flatMap((argument, index) => {
        if (argument.startsWith(`${flag}=`)) {
            return [argument.slice(flag.length + 1)];
        }
        const next = rawArgs[index + 1];
        return argument === flag && next !== undefined ? [next] : [];
    });
}
