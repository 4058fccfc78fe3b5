/**
 * The coordinator's side of placement: applies holders' asks and reports to the
 * `Coordinator`, and sends its decisions to them.
 */

import type {
  Coordinator,
  PlacementScope,
} from "@chestnuthatch/routing/coordinator";
import type { LoadReport } from "@chestnuthatch/routing/load_report";
import {
  MessageKind,
  type RoutingMessage,
} from "@chestnuthatch/routing/peer_messages";
import type {
  AskDecision,
  HolderReport,
  WorkAsk,
  WorkEnd,
} from "@chestnuthatch/routing/work_ask";
import type { Clock } from "./ports.ts";

/** Collaborators and callbacks of a `PlacementService`. */
export interface PlacementServiceParts {
  readonly coordinator: Coordinator;
  readonly clock: Clock;
  /** Instance id of this instance, which is a holder as well. */
  readonly selfId: string;
  /**
   * @returns The part of the fleet's allotments that may be handed out here.
   */
  scope(): PlacementScope;
  /** Called before an ask is decided here. */
  onAsked(): void;
  /** Sends a message to another holder. */
  send(holderId: string, message: RoutingMessage): void;
  /** Applies a decision on an ask of this instance as holder. */
  onLocalDecision(decision: AskDecision): void;
  /** Called when an ask is queued, to schedule the next tick sooner. */
  onWaiting(): void;
}

/**
 * Serves the asks and reports that holders, this instance included, send to
 * this instance as coordinator.
 */
export class PlacementService {
  readonly #parts: PlacementServiceParts;

  /** @param parts Collaborators and callbacks. */
  constructor(parts: PlacementServiceParts) {
    this.#parts = parts;
  }

  /** Whether any ask is queued at this coordinator. */
  get hasWaiting(): boolean {
    return this.#parts.coordinator.load().some(({ waiting }) => waiting > 0);
  }

  /**
   * Decides an ask, or queues it and confirms that to its holder.
   *
   * @param ask The ask.
   */
  handleAsk(ask: WorkAsk): void {
    const { coordinator, selfId, scope, send, onWaiting, onAsked } =
      this.#parts;
    const { askId, holderId } = ask;
    onAsked();
    const decisions = coordinator.ask(ask, scope());
    this.#deliver(decisions);
    if (decisions.some((decision) => decision.askId === askId)) {
      return;
    }
    onWaiting();
    if (holderId !== selfId) {
      send(holderId, { kind: MessageKind.Queued, askId });
    }
  }

  /**
   * Records that a target sent the first event of an answer.
   *
   * @param askId Id of the ask that got the placement.
   * @param of Load that the target reported with the answer, if it did.
   */
  handleFirstSeen(askId: string, of: { load?: LoadReport }): void {
    this.#parts.coordinator.firstSeen(askId, this.#nowMs(), of);
  }

  /**
   * Records the end of a request's run at a target, and assigns its slot anew.
   *
   * @param end The run's outcome.
   */
  handleEnd(end: WorkEnd): void {
    this.#deliver(this.#parts.coordinator.ended(end, this.#nowMs()));
  }

  /**
   * Removes an ask, and frees its placement if it has one.
   *
   * @param askId Id of the ask that its holder withdrew.
   * @param unusableTargetId Target of its placement, if the holder knows it as
   * removed or leaving; else absent.
   */
  handleDrop(askId: string, unusableTargetId?: string): void {
    if (unusableTargetId !== undefined) {
      this.#parts.coordinator.placementReturned(askId, {
        targetId: unusableTargetId,
        nowMs: this.#nowMs(),
      });
    }
    this.#deliver(this.#parts.coordinator.dropped(askId, this.#nowMs()));
  }

  /**
   * Applies a holder's report. Resends the decisions on asks that the holder
   * still lists as waiting, and lists to it those that are unknown here.
   *
   * @param report The holder's open asks and running work.
   */
  handleReport(report: HolderReport): void {
    const { coordinator, selfId, send } = this.#parts;
    const { holderId, waiting } = report;
    const nowMs = this.#nowMs();
    this.#deliver(coordinator.report(report, nowMs));
    const { decisions, unknownIds } = coordinator.lookUp(waiting, nowMs);
    this.#deliver(decisions);
    if (unknownIds.length > 0 && holderId !== selfId) {
      send(holderId, { kind: MessageKind.Unknown, askIds: unknownIds });
    }
  }

  /** Runs the coordinator's timeouts, and sends the decisions they lead to. */
  tick(): void {
    this.#deliver(this.#parts.coordinator.tick(this.#nowMs()));
  }

  #deliver(decisions: readonly AskDecision[]): void {
    const { selfId, send, onLocalDecision } = this.#parts;
    for (const decision of decisions) {
      if (decision.holderId === selfId) {
        onLocalDecision(decision);
      } else {
        send(decision.holderId, { kind: MessageKind.Decision, decision });
      }
    }
  }

  #nowMs(): number {
    return this.#parts.clock.nowMs();
  }
}
