/** One fault of a settings file. */
export interface Fault {
    readonly fileName: string;
    readonly section: string | undefined;
    readonly key: string | undefined;
    /** The value as written; undefined when it is absent. */
    readonly seen: string | undefined;
    readonly allowed: string;
    readonly remedy: string;
}

/** Describes a fault: file, section, key, value found, allowed values and remedy. */
export function describeFault(fault: Fault): string {
    const section = fault.section === undefined ? "" : ` [${fault.section}]`;
    const key = fault.key === undefined ? "" : ` ${fault.key}`;
    const seen = fault.seen === undefined ? "is absent" : `is "${fault.seen}"`;
    return `${fault.fileName}:${section}${key} ${seen}; allowed is ${fault.allowed}; ${fault.remedy}`;
}
