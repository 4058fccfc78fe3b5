/** Placeholder table, replaced as the controller is built. */

import type { Controller, EventHandlers } from "./controller.ts";

/** Handles its section of the blackboard. */
export class TargetController implements Controller {
  readonly name = "target";
  readonly handlers: EventHandlers = {};
}
