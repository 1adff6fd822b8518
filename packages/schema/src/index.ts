/** Generated messages and services of all RPC; the sources are in `proto/`. */
export * from "./gen/chestnutspool/v1/caller_pb.js";
export * from "./gen/chestnutspool/v1/operator_pb.js";
export * from "./gen/chestnutspool/v1/target_pb.js";
export * from "./gen/chestnutspool/v1/worker_pb.js";
