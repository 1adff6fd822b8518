import type { ControlPeer, ErrorData, ProcessSettings } from "@chestnutspool/types";
import { readFileSync } from "node:fs";
import { type Either, Left, Right } from "purify-ts/Either";
import { buildSettings } from "./build-settings.js";
import { checkRelations } from "./check-relations.js";
import { isAllowed, isIdentifier, parseAddress } from "./check-value.js";
import { describeFault, type Fault } from "./fault.js";
import { formatValueKey, type IniFile, parseIni } from "./parse-ini.js";
import { controlSection, describeRule, type SettingKey, settingKeys } from "./setting-keys.js";

const knownSections = new Set([...settingKeys.map(entry => entry.section), controlSection]);

type FaultData = Omit<Fault, "fileName">;

/** Values by section and key, the control replicas, and the faults found so far. */
interface ParsedFile {
    readonly values: Map<string, string>;
    readonly peers: ControlPeer[];
    readonly faults: FaultData[];
}

function checkLines(file: IniFile, faults: FaultData[]): void {
    for (const line of file.invalidLines) {
        faults.push({
            section: undefined,
            key: `line ${line.number}`,
            seen: line.text,
            allowed: "[section], key=value, a comment after ; or #, or an empty line",
            remedy: "correct the line",
        });
    }
    for (const key of file.keysOutsideSections) {
        faults.push({
            section: undefined,
            key,
            seen: "outside of a section",
            allowed: "a key within a section",
            remedy: "move it below its [section]",
        });
    }
}

function checkNames(file: IniFile, faults: FaultData[]): void {
    for (const [section, keys] of file.sections) {
        if (!knownSections.has(section)) {
            faults.push({
                section,
                key: undefined,
                seen: "an unknown section",
                allowed: [...knownSections].map(name => `[${name}]`).join(", "),
                remedy: "correct its name or remove it",
            });
            continue;
        }
        const names = settingKeys.filter(entry => entry.section === section).map(entry => entry.key);
        for (const [key, values] of keys) {
            if (section !== controlSection && !names.includes(key)) {
                faults.push({
                    section,
                    key,
                    seen: values.join(", "),
                    allowed: names.join(", "),
                    remedy: "this key is unknown; correct its name or remove it",
                });
            }
            else if (values.length > 1) {
                faults.push({
                    section,
                    key,
                    seen: values.join("\" and \""),
                    allowed: "one value",
                    remedy: "keep one of the lines",
                });
            }
        }
    }
}

function readValue(file: IniFile, entry: SettingKey, parsed: ParsedFile): void {
    const { section, key, rule, defaultValue, required } = entry;
    const seen = file.sections.get(section)?.get(key)?.[0];
    const value = seen ?? defaultValue;
    if (value === undefined) {
        if (required) {
            parsed.faults.push({ section, key, seen, allowed: describeRule(rule), remedy: "add the key" });
        }
        return;
    }
    if (!isAllowed(rule, value)) {
        parsed.faults.push({ section, key, seen, allowed: describeRule(rule), remedy: "correct the value" });
        return;
    }
    parsed.values.set(formatValueKey(section, key), value);
}

function readPeers(file: IniFile, parsed: ParsedFile): void {
    for (const [id, values] of file.sections.get(controlSection) ?? []) {
        const address = values[0] ?? "";
        if (!isIdentifier(id)) {
            parsed.faults.push({
                section: controlSection,
                key: id,
                seen: address,
                allowed: "an id of 1 to 63 letters, digits, dots, hyphens and underscores",
                remedy: "correct the id",
            });
        }
        if (parseAddress(address) === undefined) {
            parsed.faults.push({
                section: controlSection,
                key: id,
                seen: address,
                allowed: "IP number and port, for example 10.0.1.5:7411",
                remedy: "correct the address",
            });
        }
        parsed.peers.push({ id, address });
    }
}

/** Checks INI text as a whole. Fails with `invalidSettings`, which lists all faults. */
export function parseSettings(text: string, fileName: string): Either<ErrorData, ProcessSettings> {
    const file = parseIni(text);
    const parsed: ParsedFile = { values: new Map(), peers: [], faults: [] };
    checkLines(file, parsed.faults);
    checkNames(file, parsed.faults);
    for (const entry of settingKeys) {
        readValue(file, entry, parsed);
    }
    readPeers(file, parsed);
    const faults = parsed.faults.map(fault => describeFault({ fileName, ...fault }));
    const settings = buildSettings(parsed.values, parsed.peers);
    faults.push(...checkRelations(settings, fileName));
    return faults.length === 0 ? Right(settings) : Left({ kind: "invalidSettings", faults });
}

/** Reads and checks a settings file. Fails with `storageFailed` or with `invalidSettings`, which lists all faults. */
export function loadSettings(path: string): Either<ErrorData, ProcessSettings> {
    try {
        return parseSettings(readFileSync(path, "utf8"), path);
    }
    catch (error) {
        return Left({
            kind: "storageFailed",
            file: path,
            detail: error instanceof Error ? error.message : String(error),
        });
    }
}
