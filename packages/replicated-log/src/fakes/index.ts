export { readIdentity } from "./log-model.js";
export {
    createTestCluster,
    getError,
    getLog,
    proposeAll,
    runTest,
    settle,
    settleMs,
    splitRoles,
    type TestCluster,
    testLogSection,
    type TestReplica,
} from "./test-cluster.js";
