import { cac } from "cac";
import { Effect, Exit } from "effect";
import { type CliCommand, type CommandIo, listOptionValues } from "./command.js";
import { commands } from "./commands/index.js";
import { type ExitCode, exitCodes } from "./exit-codes.js";
import { type CliFailure, createUsageFailure, describeFailure } from "./failure.js";

const programName = "chestnutspool";

type CacProgram = ReturnType<typeof cac>;
type Run = () => Effect.Effect<ExitCode, CliFailure>;

function registerCommand(program: CacProgram, command: CliCommand, io: CommandIo, setRun: (run: Run) => void): void {
    const registered = program.command(command.form, command.description);
    if (command.alias !== undefined) {
        registered.alias(command.alias);
    }
    for (const [form, meaning] of command.options) {
        registered.option(form, meaning);
    }
    for (const example of command.examples) {
        registered.example(`  $ ${programName} ${example}`);
    }
    registered.action((...values: unknown[]) => {
        const options = values.at(-1) as Readonly<Record<string, unknown>>;
        const args = values.slice(0, -1).flat().filter(value => value !== undefined).map(String);
        const rawArgs = program.rawArgs.slice(2);
        setRun(() =>
            command.run({
                io,
                args,
                listOptionTexts: option => listOptionValues(rawArgs, option),
                hasFlag: option =>
                    options[option.replaceAll(/-([a-z])/g, (whole, letter: string) => letter.toUpperCase())] === true,
            })
        );
    });
}

/** Parses the command line and returns the function that starts its command. */
function parseCommandLine(argv: readonly string[], io: CommandIo): Run {
    const program = cac(programName);
    let matchedRun: Run | undefined;
    for (const command of commands) {
        registerCommand(program, command, io, run => {
            matchedRun = run;
        });
    }
    program.help();
    try {
        program.parse([...argv], { run: false });
        if (program.options["help"] === true) {
            return () => Effect.succeed(exitCodes.ok);
        }
        program.runMatchedCommand();
    }
    catch (error) {
        const text = error instanceof Error ? error.message : String(error);
        return () =>
            Effect.fail(createUsageFailure(text, `see ${programName} ${program.matchedCommandName ?? ""} --help`));
    }
    if (matchedRun !== undefined) {
        return matchedRun;
    }
    const name = program.args[0];
    const text = name === undefined ? "no command is given" : `there is no command "${name}"`;
    return () => Effect.fail(createUsageFailure(text, `see ${programName} --help for the commands`));
}

/** Runs the program with an argument list like `process.argv` and returns its exit code. */
export async function runProgram(argv: readonly string[], io: CommandIo): Promise<ExitCode> {
    const exit = await Effect.runPromiseExit(Effect.result(parseCommandLine(argv, io)()));
    if (Exit.isFailure(exit)) {
        io.writeErrorLine(`error internal: ${String(exit.cause)}; report it with the command line`);
        return exitCodes.failed;
    }
    if (exit.value._tag === "Success") {
        return exit.value.success;
    }
    io.writeErrorLine(describeFailure(exit.value.failure));
    return exit.value.failure.exitCode;
}
