/** Placeholder table, replaced as the controller is built. */

import type { Controller, EventHandlers } from "./controller.ts";
import type { SeedPeer } from "./scheduler_core.ts";

/** Handles its section of the blackboard. */
export class MembershipController implements Controller {
  readonly name = "membership";
  readonly handlers: EventHandlers = {};

  /** @param seedPeers Instances named by the start settings. */
  constructor(readonly seedPeers: readonly SeedPeer[]) {}
}
