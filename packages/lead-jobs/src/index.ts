export { type Leadership, startLeadership } from "./start-leadership.js";
export type { LeaderDependencies, LeaderLimits } from "./term.js";
