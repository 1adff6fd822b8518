export { type ControlView, createControlView, locateLeader, recordDirectoryReply } from "./locate-leader.js";
export { type Directory, serveDirectory } from "./serve-directory.js";
