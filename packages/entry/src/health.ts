/** Health of the entry role. */
export interface EntryHealth {
    readonly process: string;
    readonly ready: boolean;
    /** Why the role is not ready; empty when it is. */
    readonly reasons: readonly string[];
    readonly configurationRevision: number;
    /** Whether a valid session confirms the revision. */
    readonly configurationConfirmed: boolean;
    /** The control replica that answered last, or that a `notLeader` error has named since; empty when unknown. */
    readonly leader: string;
}
