export { type Leadership, startLeadership } from "./start-leadership.js";
export type { LeaderLimits, LeaderParts } from "./term.js";
