/** Placeholder table, replaced as the controller is built. */

import type { Controller, EventHandlers } from "./controller.ts";

/** Handles its section of the blackboard. */
export class CoordinatorController implements Controller {
  readonly name = "coordinator";
  readonly handlers: EventHandlers = {};
}
