import { Packr } from "msgpackr";
import type { SavedJob, SavedModel } from "./saved-model.js";

/** Encoder and decoder of snapshots. */
export const packr = new Packr({ useRecords: false, moreTypes: false, encodeUndefinedAsNil: false });

/** First byte of a MessagePack map with up to 15 keys (`fixmap`), whose number is in its lower half. */
export const mapHeader = 0x80;
/** First byte of a MessagePack array with a 32-bit length (`array 32`). */
export const arrayHeader = 0xdd;
/** Size of the header of such an array. */
export const arrayHeaderBytes = 5;

/**
 * First byte of a snapshot that does not list all occurrences, before the map; MessagePack does not use it. Earlier builds, which would
 * take the others for complete, fail to decode the snapshot and keep their state.
 */
export const unlistedMarker = 0xc1;

/** Fields of a snapshot except the jobs, which are decoded one after the other. */
export type SavedFields = Omit<SavedModel, "jobs">;

/** A snapshot whose jobs are decoded when they are listed. */
export interface DecodedSnapshot {
    readonly fields: SavedFields;
    readonly listJobs: (useJob: (job: SavedJob) => void) => void;
}

/** Key of the jobs in a snapshot, which `encodeSnapshot` writes last. */
export const jobsKey = "jobs" satisfies keyof SavedModel;

/**
 * Decodes a snapshot without holding all decoded jobs at once. The jobs are the last field of those that `encodeSnapshot` encodes; a
 * snapshot of another layout is decoded as a whole.
 */
export function decodeSnapshot(snapshot: Uint8Array): DecodedSnapshot {
    const bytes = snapshot[0] === unlistedMarker ? snapshot.subarray(1) : snapshot;
    const fields: Record<string, unknown> = {};
    let key: string | undefined;
    let jobsStart: number | undefined;
    const isFixedMap = ((bytes[0] ?? 0) & 0xf0) === mapHeader;
    if (isFixedMap) {
        packr.unpackMultiple(bytes.subarray(1), (value: unknown, start, end) => {
            if (key !== undefined) {
                fields[key] = value;
                key = undefined;
                return;
            }
            key = String(value);
            if (key === jobsKey) {
                jobsStart = end === undefined ? undefined : end + 1;
                return false;
            }
        });
    }
    if (jobsStart === undefined || bytes[jobsStart] !== arrayHeader) {
        const saved = packr.unpack(bytes) as SavedModel;
        return { fields: saved, listJobs: useJob => saved.jobs.forEach(useJob) };
    }
    const encodedJobs = bytes.subarray(jobsStart + arrayHeaderBytes);
    return {
        fields: fields as unknown as SavedFields,
        listJobs: useJob => {
            if (encodedJobs.length > 0) {
                packr.unpackMultiple(encodedJobs, (job: unknown) => useJob(job as SavedJob));
            }
        },
    };
}
