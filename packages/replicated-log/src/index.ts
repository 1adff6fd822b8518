export { awaitReplicaFailure } from "./await-replica-failure.js";
export { openFileDisk } from "./file-disk.js";
export { createMemoryLog } from "./memory-log.js";
export { openReplicatedLog, type ReplicatedLogOptions, type ReplicatedLogPorts } from "./open-log.js";
