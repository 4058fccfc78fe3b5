/** Event handlers of controllers that handle events of every kind. */

import type { EventHandlers, Turn } from "./controller.ts";
import { type CoreEvent, EventKind } from "./events.ts";

/**
 * Creates a table that has one handler for all kinds of event.
 *
 * @param handle The handler.
 * @returns The table, with one entry per {@link EventKind}.
 */
export function handlersForAllEvents(
  handle: (event: CoreEvent, turn: Turn) => void,
): EventHandlers {
  return Object.fromEntries(
    Object.values(EventKind).map((kind) => [kind, handle]),
  );
}
