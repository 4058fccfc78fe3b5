/** Placeholder table, replaced as the controller is built. */

import type { Controller, EventHandlers } from "./controller.ts";

/** Handles its section of the blackboard. */
export class RequestController implements Controller {
  readonly name = "request";
  readonly handlers: EventHandlers = {};
}
