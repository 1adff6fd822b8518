import type { ChannelName, ErrorData } from "@chestnutspool/types";
import { Packr, Unpackr } from "msgpackr";

/** Largest frame between processes, in bytes; an answer of 4 MiB with its envelope fits. */
export const frameLimitBytes = 8 * 1024 * 1024;

/** A frame that one process sends to another over a link. */
export type Frame =
    | { readonly kind: "hello"; readonly version: number; readonly from: string; readonly to: string; }
    | { readonly kind: "welcome"; readonly version: number; readonly from: string; }
    | { readonly kind: "message"; readonly channel: ChannelName; readonly body: unknown; }
    | {
        readonly kind: "call";
        readonly channel: ChannelName;
        readonly id: number;
        readonly streamed: boolean;
        readonly body: unknown;
    }
    | { readonly kind: "reply"; readonly id: number; readonly body: unknown; }
    | { readonly kind: "item"; readonly id: number; readonly body: unknown; }
    | { readonly kind: "end"; readonly id: number; }
    | { readonly kind: "failure"; readonly id: number; readonly error: ErrorData; }
    | { readonly kind: "credit"; readonly id: number; readonly items: number; }
    | { readonly kind: "cancel"; readonly id: number; };

/**
 * Objects of the same shape share the names of their fields within a frame, which halves reports and lists of runs. Frames
 * without shared names, which processes of earlier builds send, are decoded as well.
 */
const packr = new Packr({ useRecords: true, moreTypes: false, encodeUndefinedAsNil: false });
const unpackr = new Unpackr({ mapsAsObjects: true });

/** Encodes a frame as MessagePack. */
export function encodeFrame(frame: Frame): Uint8Array {
    return packr.pack(frame);
}

const frameKinds: ReadonlySet<unknown> = new Set<Frame["kind"]>([
    "hello",
    "welcome",
    "message",
    "call",
    "reply",
    "item",
    "end",
    "failure",
    "credit",
    "cancel",
]);

/** Decodes a frame; undefined when the bytes are not one. */
export function decodeFrame(bytes: Uint8Array): Frame | undefined {
    try {
        const value: unknown = unpackr.unpack(bytes);
        if (typeof value === "object" && value !== null && "kind" in value && frameKinds.has(value.kind)) {
            return value as Frame;
        }
        return undefined;
    }
    catch {
        return undefined;
    }
}
