import { parse } from "ini";

/** Keys and values of one section; a key that occurs more than once has several values. */
export type IniSection = ReadonlyMap<string, readonly string[]>;

/** Sections of a file, and keys that stand before the first section. */
export interface IniFile {
    readonly sections: ReadonlyMap<string, IniSection>;
    readonly looseKeys: readonly string[];
    /** Lines that are neither a section, a key with a value, a comment nor empty. */
    readonly badLines: readonly { readonly number: number; readonly text: string; }[];
}

const sectionPattern = /^\s*\[[A-Za-z0-9_-]+\]\s*$/;
const keyPattern = /^\s*[^=\s[][^=]*=/;
const skippedPattern = /^\s*([;#].*)?$/;
// The ini library drops these names without a word.
const forbiddenPattern = /^\s*\[?__proto__\b/;

function findBadLines(text: string): IniFile["badLines"] {
    return text.split(/\r?\n|\r/)
        .map((line, index) => ({ number: index + 1, text: line.trim() }))
        .filter(line =>
            forbiddenPattern.test(line.text)
            || !(sectionPattern.test(line.text) || keyPattern.test(line.text) || skippedPattern.test(line.text))
        );
}

/** Key under which a value of a section is kept. */
export function formatValueKey(section: string, key: string): string {
    return `${section}.${key}`;
}

function listValues(value: unknown): readonly string[] {
    return Array.isArray(value) ? value.map(String) : [String(value)];
}

/** Parses INI text. Nothing is dropped: what the ini library would pass over is listed as a bad line. */
export function parseIni(text: string): IniFile {
    const badLines = findBadLines(text);
    const badNumbers = new Set(badLines.map(line => line.number));
    const goodText = text.split(/\r?\n|\r/).filter((line, index) => !badNumbers.has(index + 1));
    const firstSection = goodText.findIndex(line => sectionPattern.test(line));
    const head = firstSection === -1 ? goodText : goodText.slice(0, firstSection);
    const body = firstSection === -1 ? [] : goodText.slice(firstSection);
    // Without bracketed arrays the library keeps repeated keys, so that they can be reported.
    const parsed: Record<string, unknown> = parse(body.join("\n"), { bracketedArray: false });
    const sections = new Map<string, IniSection>();
    for (const [name, content] of Object.entries(parsed)) {
        const keys = Object.entries(content as Record<string, unknown>);
        sections.set(name, new Map(keys.map(([key, value]) => [key, listValues(value)])));
    }
    const looseKeys = Object.keys(parse(head.join("\n")));
    return { sections, looseKeys, badLines };
}
