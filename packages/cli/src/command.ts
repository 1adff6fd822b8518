import type { Effect } from "effect";
import type { ExitCode } from "./exit-codes.js";
import type { CliFailure } from "./failure.js";

/** Environment variables and output streams of a command. */
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
    /** All values of an option, as the unconverted texts of the command line. */
    readonly listOptionTexts: (option: string) => readonly string[];
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

/**
 * Lists all values of an option in an argument list. The values that cac parses are not used, because it converts texts
 * that look like numbers to numbers, which changes ids such as `007`.
 */
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
