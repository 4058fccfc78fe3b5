/** The interface of controllers, and the `Turn` that each event passes them. */

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
import type { RandomSource } from "./random_source.ts";

/**
 * The handling of one event, from its arrival until all controllers have run:
 * gives them the state and the time, and collects their effects.
 */
export class Turn {
  readonly board: Blackboard;
  readonly random: RandomSource;
  /** Time of the event on the instance's monotonic clock. */
  readonly nowMs: number;
  /** Effects so far, in the order in which they are carried out. */
  readonly effects: Effect[] = [];
  /** Messages from this instance to itself, handled in the same turn. */
  readonly selfMessages: PeerMessage[] = [];

  /**
   * @param board The instance's state.
   * @param options The time of the event and the source of randomness.
   */
  constructor(
    board: Blackboard,
    options: { nowMs: number; random: RandomSource },
  ) {
    this.board = board;
    this.nowMs = options.nowMs;
    this.random = options.random;
  }

  /**
   * Adds an effect.
   *
   * @param effect The effect, which the I/O layer carries out after the turn.
   */
  emit(effect: Effect): void {
    this.effects.push(effect);
  }

  /**
   * Sends a message to an instance, which may be this one.
   *
   * @param peerId Id of the instance.
   * @param message The message.
   */
  send(peerId: string, message: PeerMessage): void {
    if (peerId === this.board.self.instanceId) {
      this.selfMessages.push(message);
      return;
    }
    this.emit({ kind: EffectKind.SendPeer, peerId, message });
  }

  /**
   * Writes a log line.
   *
   * @param level Severity of the line.
   * @param part Part of the system that writes it.
   * @param text The message, a short sentence.
   */
  log(level: LogLevel, part: LogPart, text: string): void {
    this.emit({ kind: EffectKind.Log, level, part, text });
  }

  /**
   * Increments a counter.
   *
   * @param counter Name of the counter.
   * @param labels Label values, from a bounded set.
   * @param by The increment, 1 by default.
   */
  count(
    counter: CounterName,
    labels: Readonly<Record<string, string>> = {},
    by = 1,
  ): void {
    this.emit({ kind: EffectKind.Count, counter, by, labels });
  }

  /**
   * Records a decision about a request, which `why` shows.
   *
   * @param requestId Id of the request.
   * @param by Name of the controller that decided.
   * @param text The decision and its reason.
   */
  recordDecision(requestId: string, by: string, text: string): void {
    this.board.decisions.add(requestId, { atMs: this.nowMs, by, text });
  }
}

/** Event handlers by kind of event. Kinds without a handler are ignored. */
export type EventHandlers = {
  readonly [K in EventKind]?: (event: EventOf<K>, turn: Turn) => void;
};

/**
 * A part of the scheduler: a table of event handlers that read the blackboard
 * and write one section of it.
 */
export interface Controller {
  readonly name: string;
  readonly handlers: EventHandlers;
}

/**
 * Passes an event to a controller's handler for its kind, if there is one.
 *
 * @param controller The controller.
 * @param event The event.
 * @param turn The turn of the event.
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
