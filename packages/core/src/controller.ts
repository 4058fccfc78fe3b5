/** What every controller is, and what it is handed with each event. */

import type { PeerMessage } from "@chestnuthatch/wire/peer_messages";
import type { Blackboard } from "./blackboard.ts";
import {
  type CounterName,
  type Effect,
  EffectKind,
  type LogLevel,
  type LogPart,
} from "./effects.ts";
import type { CoreEvent, EventKind, EventOf } from "./events.ts";
import type { Randomness } from "./randomness.ts";

/** The blackboard, the time, and a place for effects, during one event. */
export class Turn {
  readonly board: Blackboard;
  readonly random: Randomness;
  readonly nowMs: number;
  readonly effects: Effect[] = [];
  /** Messages from this instance to itself, handled within the same turn. */
  readonly toSelf: PeerMessage[] = [];

  /**
   * @param board The instance's state.
   * @param options The time of the event and the source of randomness.
   */
  constructor(
    board: Blackboard,
    options: { nowMs: number; random: Randomness },
  ) {
    this.board = board;
    this.nowMs = options.nowMs;
    this.random = options.random;
  }

  /** @param effect An order for the edges. */
  emit(effect: Effect): void {
    this.effects.push(effect);
  }

  /**
   * Sends a message to an instance, which may be this one.
   *
   * @param peerId The instance.
   * @param message The message.
   */
  send(peerId: string, message: PeerMessage): void {
    if (peerId === this.board.self.instanceId) {
      this.toSelf.push(message);
      return;
    }
    this.emit({ kind: EffectKind.SendPeer, peerId, message });
  }

  /**
   * Writes a log line.
   *
   * @param level How grave it is.
   * @param part The part it comes from.
   * @param text A short sentence.
   */
  log(level: LogLevel, part: LogPart, text: string): void {
    this.emit({ kind: EffectKind.Log, level, part, text });
  }

  /**
   * Raises a counter.
   *
   * @param counter Which one.
   * @param labels Bounded label values.
   * @param by How much, 1 by default.
   */
  count(
    counter: CounterName,
    labels: Readonly<Record<string, string>> = {},
    by = 1,
  ): void {
    this.emit({ kind: EffectKind.Count, counter, by, labels });
  }

  /**
   * Records a step in a request's story.
   *
   * @param requestId The request.
   * @param by The controller that decided.
   * @param text What was decided and why.
   */
  decide(requestId: string, by: string, text: string): void {
    this.board.decisions.add(requestId, { atMs: this.nowMs, by, text });
  }
}

/** A handler for each kind of event a controller looks at. */
export type EventHandlers = {
  readonly [K in EventKind]?: (event: EventOf<K>, turn: Turn) => void;
};

/** A controller: a table of handlers over the blackboard. */
export interface Controller {
  readonly name: string;
  readonly handlers: EventHandlers;
}

/**
 * Lets a controller handle an event, if it looks at that kind.
 *
 * @param controller The controller.
 * @param event The event.
 * @param turn The turn it happens in.
 */
export function runController(
  controller: Controller,
  event: CoreEvent,
  turn: Turn,
): void {
  const handler = controller.handlers[event.kind] as
    | ((event: CoreEvent, turn: Turn) => void)
    | undefined;
  handler?.(event, turn);
}
