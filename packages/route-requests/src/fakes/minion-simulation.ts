import type { AttemptRef, MinionAnnouncement } from "@chestnutspool/types";
import { computeLeaseEndMs, createMinionSlots, type InitialOwnership, type MinionSlots } from "../index.js";

/** One step of a random history of a minion and its owners; `pick` chooses among the attempts to which it can apply. */
export type SimulationStep =
    | { readonly kind: "dispatch" | "deliver" | "complete" | "abandon" | "seeClose"; readonly pick: number; }
    | { readonly kind: "announce" | "deliverAnnouncement" | "repeatAnnouncement" | "loseAnnouncement"; }
    | { readonly kind: "move" | "expire" | "restart"; }
    | { readonly kind: "wait"; readonly ms: number; };

interface Dispatch {
    readonly attempt: string;
    readonly epoch: number;
    readonly owner: MinionSlots;
    readonly sentAtMs: number;
    state: "underway" | "running" | "ended";
    connected: boolean;
    leaseEndsAtMs: number;
}

export const simulatedSlots = 3;
const leaseMs = 2_000;
const times = { silenceMs: 1_000_000, maxRunMs: leaseMs, leaseMarginMs: 250, clockDriftPercent: 1 };
/** Longest transit time of a request in milliseconds; the lease margin has to cover it. */
const longestTransitMs = 200;
const info = {
    id: "minion",
    service: "plume",
    address: "127.0.0.1:1",
    availabilityZone: "zone-a",
    slots: simulatedSlots,
    connections: simulatedSlots + 1,
};

/** Simulates a minion, the transit of messages to and from it, and successive owners that use the accounting. */
export class MinionSimulation {
    private nowMs = 0;
    private epoch = 1;
    private attemptCount = 0;
    private incarnation = 1;
    private sequence = 0;
    private highestEpoch = 0;
    /** True once an owner was lost; control keeps this mark of a minion for longer than any run lease. */
    private afterExpiry = false;
    private dispatches: Dispatch[] = [];
    private pending: MinionAnnouncement | undefined;
    private delivered: MinionAnnouncement | undefined;
    owner: MinionSlots = this.createOwner({ attemptsKnownFrom: "afterFirst", attempts: [] });

    /** Number of attempts that run on the minion, independent of what its owner knows. */
    countRunning(): number {
        return this.dispatches.filter(each => each.state === "running").length;
    }

    countFree(): number {
        return this.owner.countFree(this.nowMs);
    }

    applyStep(step: SimulationStep): void {
        switch (step.kind) {
            case "dispatch":
                return this.dispatch();
            case "deliver":
                return this.applyToPicked("underway", step.pick, each => this.deliver(each));
            case "complete":
                return this.applyToPicked("running", step.pick, each => this.complete(each));
            case "abandon":
                return this.applyToPicked("any", step.pick, each => this.cancelAttempt(each));
            case "seeClose":
                return this.applyToPicked("running", step.pick, each => this.observeClose(each));
            case "announce":
                this.pending ??= this.createAnnouncement();
                return;
            case "deliverAnnouncement":
                return this.deliverAnnouncement();
            case "repeatAnnouncement":
                return this.recordAnnouncementAtOwner(this.delivered);
            case "loseAnnouncement":
                this.pending = undefined;
                return;
            case "move":
                return this.releaseMinion();
            case "expire":
                return this.expireOwner();
            case "restart":
                return this.startNextIncarnation();
            case "wait":
                return this.updateTime(step.ms);
        }
    }

    /** Ends all runs; the owner learns of it either from announcements or only from the passing of time. */
    settle(by: "announcements" | "time"): void {
        for (const each of this.dispatches) {
            if (each.connected) {
                this.cancelAttempt(each);
            }
        }
        if (by === "time") {
            this.updateTime(leaseMs * 2);
            this.owner.expireLeases(this.nowMs);
            return;
        }
        for (const each of this.dispatches) {
            each.state = "ended";
        }
        for (let round = 0; round < 4; round += 1) {
            this.pending ??= this.createAnnouncement();
            this.deliverAnnouncement();
        }
    }

    private createOwner(start: InitialOwnership): MinionSlots {
        return createMinionSlots(info, this.epoch, start, times, this.nowMs);
    }

    private applyToPicked(state: Dispatch["state"] | "any", pick: number, act: (dispatch: Dispatch) => void): void {
        const possible = this.dispatches.filter(each =>
            state === "any" ? each.state !== "ended" && each.connected : each.state === state
        );
        const chosen = possible[pick % Math.max(1, possible.length)];
        if (chosen !== undefined) {
            act(chosen);
        }
    }

    private dispatch(): void {
        this.attemptCount += 1;
        const attempt = `attempt-${this.attemptCount}`;
        const ref: AttemptRef = {
            attempt,
            minion: info.id,
            shard: 0,
            tenant: "moreno",
            requestId: attempt,
            runLeaseLeftMs: leaseMs,
        };
        if (this.owner.openAttempt(ref, this.nowMs)) {
            this.owner.recordSent(attempt, computeLeaseEndMs(this.nowMs, leaseMs, times));
            this.dispatches.push({
                attempt,
                epoch: this.epoch,
                owner: this.owner,
                sentAtMs: this.nowMs,
                state: "underway",
                connected: true,
                leaseEndsAtMs: 0,
            });
        }
    }

    private deliver(dispatch: Dispatch): void {
        if (dispatch.epoch < this.highestEpoch) {
            dispatch.state = "ended";
            this.close(dispatch, "notSent");
            return;
        }
        this.highestEpoch = dispatch.epoch;
        dispatch.state = "running";
        dispatch.leaseEndsAtMs = this.nowMs + leaseMs;
    }

    private complete(dispatch: Dispatch): void {
        dispatch.state = "ended";
        if (dispatch.connected) {
            this.close(dispatch, "ran");
        }
    }

    /** The owner cancels the attempt: the connection is reset, which also drops a request that is still underway. */
    private cancelAttempt(dispatch: Dispatch): void {
        if (dispatch.state === "underway") {
            dispatch.state = "ended";
        }
        this.close(dispatch, "maybeRun");
    }

    private observeClose(dispatch: Dispatch): void {
        if (!dispatch.connected) {
            dispatch.state = "ended";
        }
    }

    /**
     * Closes an attempt at the owner that sent it, which reports a certain end to the current owner if that is another.
     */
    private close(dispatch: Dispatch, state: "notSent" | "maybeRun" | "ran"): void {
        dispatch.connected = false;
        dispatch.owner.closeAttempt(dispatch.attempt, state, this.nowMs);
        if (state !== "maybeRun" && dispatch.owner !== this.owner) {
            this.owner.confirmEnd(dispatch.attempt);
        }
    }

    private createAnnouncement(): MinionAnnouncement {
        this.sequence += 1;
        return {
            minion: info,
            leaving: false,
            runningAttempts: this.dispatches.filter(each => each.state === "running").map(each => each.attempt),
            highestEpoch: this.highestEpoch,
            sequence: this.sequence,
            incarnation: `run-${this.incarnation}`,
        };
    }

    /** The minion makes the next announcement only after the answer to this one. */
    private deliverAnnouncement(): void {
        const announcement = this.pending;
        this.pending = undefined;
        this.delivered = announcement ?? this.delivered;
        this.recordAnnouncementAtOwner(announcement);
        if (announcement?.incarnation === `run-${this.incarnation}`) {
            this.highestEpoch = Math.max(this.highestEpoch, this.epoch);
        }
    }

    private recordAnnouncementAtOwner(announcement: MinionAnnouncement | undefined): void {
        if (announcement !== undefined) {
            this.owner.recordAnnouncement(announcement, this.nowMs);
        }
    }

    private releaseMinion(): void {
        const attempts = this.owner.releaseMinion(this.nowMs);
        this.epoch += 1;
        this.owner = this.createOwner({ attemptsKnownFrom: this.afterExpiry ? "afterEpoch" : "atOnce", attempts });
    }

    /** The owner is lost with its connections; requests that it had sent may still arrive. */
    private expireOwner(): void {
        this.epoch += 1;
        this.afterExpiry = true;
        for (const dispatch of this.dispatches) {
            dispatch.connected = false;
        }
        this.owner = this.createOwner({ attemptsKnownFrom: "afterEpoch", attempts: [] });
    }

    /** The minion restarts: its connections are closed, and requests on them that it has not read are lost. */
    private startNextIncarnation(): void {
        for (const dispatch of this.dispatches) {
            if (dispatch.state !== "ended") {
                dispatch.state = "ended";
                if (dispatch.connected) {
                    this.close(dispatch, "maybeRun");
                }
            }
        }
        this.incarnation += 1;
        this.sequence = 0;
        this.highestEpoch = 0;
        this.pending = undefined;
    }

    private updateTime(ms: number): void {
        this.nowMs += ms;
        for (const each of this.dispatches) {
            if (each.state === "underway" && this.nowMs - each.sentAtMs > longestTransitMs) {
                each.state = "ended";
            }
            if (each.state === "running" && each.leaseEndsAtMs <= this.nowMs) {
                this.complete(each);
            }
        }
        this.owner.expireLeases(this.nowMs);
    }
}
