/** Placeholder table, replaced as the controller is built. */

import type { Controller, EventHandlers } from "./controller.ts";

/** Handles its section of the blackboard. */
export class SettingsController implements Controller {
  readonly name = "settings";
  readonly handlers: EventHandlers = {};
}
