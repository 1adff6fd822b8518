import type { CliCommand } from "../command.js";
import { applyCommand } from "./apply/index.js";
import { cancelCommand } from "./cancel/index.js";
import { checkConfigCommand } from "./check-config/index.js";
import { configCommand } from "./config/index.js";
import { devCommand } from "./dev/index.js";
import { drainCommand } from "./drain/index.js";
import { eventsCommand } from "./events/index.js";
import { getCommand } from "./get/index.js";
import { healthCommand } from "./health/index.js";
import { listCommand } from "./list/index.js";
import { membersCommand } from "./members/index.js";
import { minionsCommand } from "./minions/index.js";
import { serveCommand } from "./serve/index.js";
import { statsCommand } from "./stats/index.js";
import { submitCommand } from "./submit/index.js";
import { tasksCommand } from "./tasks/index.js";
import { tenantsCommand } from "./tenants/index.js";
import { workerCommand } from "./worker/index.js";
import { workersCommand } from "./workers/index.js";
import { zoneCommand } from "./zone/index.js";

/** All commands, in the order of the help text. */
export const commands: readonly CliCommand[] = [
    serveCommand,
    devCommand,
    checkConfigCommand,
    submitCommand,
    applyCommand,
    cancelCommand,
    getCommand,
    listCommand,
    tasksCommand,
    tenantsCommand,
    configCommand,
    workersCommand,
    workerCommand,
    zoneCommand,
    minionsCommand,
    membersCommand,
    drainCommand,
    healthCommand,
    statsCommand,
    eventsCommand,
];
