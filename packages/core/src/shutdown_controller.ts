/** Shutdown controller: drains the instance's requests, then ends it. */

import type { Blackboard } from "./blackboard.ts";
import {
  type Controller,
  type EventHandlers,
  runController,
  type Turn,
} from "./controller.ts";
import { EffectKind, LogLevel, LogPart } from "./effects.ts";
import { EventKind } from "./events.ts";
import { handlersForAllEvents } from "./all_event_handlers.ts";
import { broadcastHeartbeat } from "./heartbeat_gossip.ts";
import { isFinished } from "./held_requests.ts";

/**
 * Marks this instance as leaving, and emits `ShutdownDone` once none of its
 * requests is unfinished, or at once when the shutdown is forced.
 */
export class ShutdownController implements Controller {
  readonly name = "shutdown";
  readonly handlers: EventHandlers;
  #isComplete = false;

  /** Creates the controller of an instance that is not leaving. */
  constructor() {
    const ownController: Controller = {
      name: this.name,
      handlers: SHUTDOWN_HANDLERS,
    };
    this.handlers = handlersForAllEvents((event, turn) => {
      runController(ownController, event, turn);
      if (turn.board.self.leaving && !this.#isComplete) {
        this.#completeIfIdle(turn, event.kind === EventKind.ShutdownForced);
      }
    });
  }

  #completeIfIdle(turn: Turn, isForced: boolean): void {
    const unfinished = countUnfinished(turn.board);
    if (unfinished > 0 && !isForced) {
      return;
    }
    this.#isComplete = true;
    turn.log(
      unfinished > 0 ? LogLevel.Error : LogLevel.Info,
      LogPart.Shutdown,
      `Shutdown complete with ${unfinished} requests unfinished.`,
    );
    turn.emit({ kind: EffectKind.ShutdownDone });
  }
}

const SHUTDOWN_HANDLERS: EventHandlers = {
  [EventKind.ShutdownRequested]: (_event, turn) => startLeaving(turn),
  [EventKind.ShutdownForced]: (_event, turn) => startLeaving(turn),
};

function startLeaving(turn: Turn): void {
  if (turn.board.self.leaving) {
    return;
  }
  turn.board.self.leaving = true;
  turn.log(
    LogLevel.Info,
    LogPart.Shutdown,
    `Leaving with ${countUnfinished(turn.board)} requests unfinished.`,
  );
  broadcastHeartbeat(turn);
}

function countUnfinished(board: Blackboard): number {
  let count = 0;
  for (const request of board.requests.byId.values()) {
    count += isFinished(request) ? 0 : 1;
  }
  return count;
}
