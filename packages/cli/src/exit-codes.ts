/** Exit codes of the program, as listed in docs/operator-commands.md. */
export const exitCodes = {
    ok: 0,
    failed: 1,
    usage: 2,
    conflict: 3,
    notFound: 4,
    unavailable: 5,
} as const;

/** One of the exit codes. */
export type ExitCode = typeof exitCodes[keyof typeof exitCodes];
