export type { Victim } from "./list-victims.js";
export { planPreemptions, type Preemption, type PreemptionInput, type PreemptionPlan } from "./plan-preemptions.js";
export { createPreemptionMemory, type PreemptionMemory } from "./preemption-memory.js";
export { type EndedReservation, listReservations, type ReservationOutcome } from "./update-reservations.js";
