export { type ClusterMachine, createClusterMachine } from "./cluster-machine.js";
