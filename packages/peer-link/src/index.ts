export { frameLimitBytes } from "./frame.js";
export { createMemoryNetwork, type MemoryNetwork } from "./memory-network.js";
export { openWebSocketLink, type WebSocketLinkOptions } from "./web-socket-link.js";
