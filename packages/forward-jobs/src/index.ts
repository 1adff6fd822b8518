export { createForwarder, type Forwarder, type ForwardReply } from "./forwarder.js";
