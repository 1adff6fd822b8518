export { createKernel, defineService, type Kernel, type KernelService, type ServiceKey } from "./kernel.js";
