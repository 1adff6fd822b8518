export { type ControlView, createControlView, locateLeader, recordReply } from "./locate-leader.js";
export { type Directory, serveDirectory } from "./serve-directory.js";
