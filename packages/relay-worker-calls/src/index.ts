export { chooseRelay, rankRelays, type RelayCandidate, type RelayedWorker } from "./choose-relay.js";
export {
    createRelayedWorkerPort,
    openWorkerCalls,
    type RelayedWorkerCalls,
    type WorkerCallDependencies,
} from "./open-worker-calls.js";
export { findRelayFault, type RelayFault } from "./relay-health.js";
export { serveWorkerCalls } from "./serve-worker-calls.js";
