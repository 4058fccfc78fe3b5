/** Placeholder table, replaced as the controller is built. */

import type { Controller, EventHandlers } from "./controller.ts";

/** Handles its section of the blackboard. */
export class ShutdownController implements Controller {
  readonly name = "shutdown";
  readonly handlers: EventHandlers = {};
}
