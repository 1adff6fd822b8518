import { parse } from "ini";

/** Keys and values of one section; a key that occurs more than once has several values. */
export type IniSection = ReadonlyMap<string, readonly string[]>;

/** Parsed file: its sections, the keys before the first section and the invalid lines. */
export interface IniFile {
    readonly sections: ReadonlyMap<string, IniSection>;
    readonly keysOutsideSections: readonly string[];
    /** Lines that are neither a section, a key with a value, a comment nor empty. */
    readonly invalidLines: readonly { readonly number: number; readonly text: string; }[];
}

const sectionPattern = /^\s*\[[A-Za-z0-9_-]+\]\s*$/;
const keyPattern = /^\s*[^=\s[][^=]*=/;
const blankOrCommentPattern = /^\s*([;#].*)?$/;
// The ini library silently ignores these names.
const ignoredNamePattern = /^\s*\[?__proto__\b/;

function findInvalidLines(text: string): IniFile["invalidLines"] {
    return text.split(/\r?\n|\r/)
        .map((line, index) => ({ number: index + 1, text: line.trim() }))
        .filter(line =>
            ignoredNamePattern.test(line.text)
            || !(sectionPattern.test(line.text) || keyPattern.test(line.text) || blankOrCommentPattern.test(line.text))
        );
}

/** Key of a value in the map of all values: section and key, separated by a dot. */
export function formatValueKey(section: string, key: string): string {
    return `${section}.${key}`;
}

function listValues(value: unknown): readonly string[] {
    return Array.isArray(value) ? value.map(String) : [String(value)];
}

/** Parses INI text. Lines that the ini library would ignore are listed as invalid, so that each one is reported. */
export function parseIni(text: string): IniFile {
    const invalidLines = findInvalidLines(text);
    const invalidNumbers = new Set(invalidLines.map(line => line.number));
    const validLines = text.split(/\r?\n|\r/).filter((line, index) => !invalidNumbers.has(index + 1));
    const firstSection = validLines.findIndex(line => sectionPattern.test(line));
    const head = firstSection === -1 ? validLines : validLines.slice(0, firstSection);
    const body = firstSection === -1 ? [] : validLines.slice(firstSection);
    // With `bracketedArray: false` the library keeps the values of repeated keys, so that they can be reported.
    const parsed: Record<string, unknown> = parse(body.join("\n"), { bracketedArray: false });
    const sections = new Map<string, IniSection>();
    for (const [name, content] of Object.entries(parsed)) {
        const keys = Object.entries(content as Record<string, unknown>);
        sections.set(name, new Map(keys.map(([key, value]) => [key, listValues(value)])));
    }
    const looseKeys = Object.keys(parse(head.join("\n")));
    return { sections, keysOutsideSections: looseKeys, invalidLines: invalidLines };
}
