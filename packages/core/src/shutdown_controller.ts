/** Ends the instance once nothing it holds is unfinished. */

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
import { beatToAll } from "./heartbeat_gossip.ts";
import { isFinished } from "./held_requests.ts";

/** Writes `leaving` of this instance. */
export class ShutdownController implements Controller {
  readonly name = "shutdown";
  readonly handlers: EventHandlers;
  #done = false;

  /** Makes the controller of an instance that is not leaving. */
  constructor() {
    const own: Controller = { name: this.name, handlers: OWN_HANDLERS };
    this.handlers = handlersForAllEvents((event, turn) => {
      runController(own, event, turn);
      if (turn.board.self.leaving && !this.#done) {
        this.#endIfIdle(turn, event.kind === EventKind.ShutdownForced);
      }
    });
  }

  #endIfIdle(turn: Turn, forced: boolean): void {
    const unfinished = countUnfinished(turn.board);
    if (unfinished > 0 && !forced) {
      return;
    }
    this.#done = true;
    turn.log(
      unfinished > 0 ? LogLevel.Error : LogLevel.Info,
      LogPart.Shutdown,
      `Done with ${unfinished} requests unfinished.`,
    );
    turn.emit({ kind: EffectKind.ShutdownDone });
  }
}

const OWN_HANDLERS: EventHandlers = {
  [EventKind.ShutdownRequested]: (_event, turn) => leave(turn),
  [EventKind.ShutdownForced]: (_event, turn) => leave(turn),
};

function leave(turn: Turn): void {
  if (turn.board.self.leaving) {
    return;
  }
  turn.board.self.leaving = true;
  turn.log(
    LogLevel.Info,
    LogPart.Shutdown,
    `Leaving with ${countUnfinished(turn.board)} requests unfinished.`,
  );
  beatToAll(turn);
}

function countUnfinished(board: Blackboard): number {
  let count = 0;
  for (const held of board.requests.byId.values()) {
    count += isFinished(held) ? 0 : 1;
  }
  return count;
}
