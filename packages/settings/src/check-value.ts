import { isIP } from "node:net";
import type { ValueRule } from "./setting-keys.js";

const identifierPattern = /^[A-Za-z0-9._-]{1,63}$/;
// Number() also accepts "", "0x10" and "1e3", which are usually mistakes in a settings file.
const integerPattern = /^\d+$/;
const numberPattern = /^\d+(\.\d+)?$/;

function isInRange(text: string, min: number, max: number): boolean {
    return Number(text) >= min && Number(text) <= max;
}

/** Parses a list of roles; undefined when a role is unknown or repeated, or when there is none. */
export function parseRoles(text: string): readonly ("control" | "entry")[] | undefined {
    const names = text.split(",").map(name => name.trim());
    const roles = names.filter(name => name === "control" || name === "entry");
    return roles.length === names.length && new Set(roles).size === roles.length ? roles : undefined;
}

/** Parses the host and port of an address; undefined unless the host is an IP address and the port is 1 to 65535. */
export function parseAddress(text: string): { readonly host: string; readonly port: number; } | undefined {
    const match = /^(?:\[([^\]]+)\]|([^:]+)):(\d{1,5})$/.exec(text);
    const host = match?.[1] ?? match?.[2] ?? "";
    const port = Number(match?.[3] ?? 0);
    return isIP(host) !== 0 && port >= 1 && port <= 65_535 ? { host, port } : undefined;
}

/** Whether the text is an id of a process. */
export function isIdentifier(text: string): boolean {
    return identifierPattern.test(text);
}

/** Whether the text is allowed by the rule. */
export function isAllowed(rule: ValueRule, text: string): boolean {
    switch (rule.kind) {
        case "integer":
            return integerPattern.test(text) && isInRange(text, rule.min, rule.max);
        case "number":
            return numberPattern.test(text) && isInRange(text, rule.min, rule.max);
        case "identifier":
            return isIdentifier(text);
        case "folder":
            return text !== "" && !text.includes("\0");
        case "ipNumber":
            return isIP(text) !== 0 && (rule.wildcard || (text !== "0.0.0.0" && text !== "::"));
        case "roles":
            return parseRoles(text) !== undefined;
        case "choice":
            return rule.choices.includes(text);
    }
}
