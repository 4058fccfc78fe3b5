/**
 * The coordinator's side of placement: takes in what holders ask and report, and
 * sends them decisions.
 */

import type { LedgerScope } from "@chestnuthatch/routing/allotment_ledger";
import type { Coordinator } from "@chestnuthatch/routing/coordinator";
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

/** What the service works with. */
export interface ServiceParts {
  readonly coordinator: Coordinator;
  readonly clock: Clock;
  /** This instance, which is a holder as well. */
  readonly selfId: string;
  /** @returns What this instance may hand out now. */
  scope(): LedgerScope;
  /** Sends a message to another holder. */
  send(holderId: string, message: RoutingMessage): void;
  /** Takes a decision on an ask of this instance's own. */
  onOwnDecision(decision: AskDecision): void;
  /** Called when an ask begins to wait. */
  onWaiting(): void;
}

/** Serves the holders that reach this instance, itself included. */
export class PlaceService {
  readonly #parts: ServiceParts;

  /** @param parts What the service works with. */
  constructor(parts: ServiceParts) {
    this.#parts = parts;
  }

  /** Whether asks wait here for a place. */
  get hasWaiting(): boolean {
    return this.#parts.coordinator.load().some(({ waiting }) => waiting > 0);
  }

  /** @param ask An ask; its holder hears at once whether it waits. */
  ask(ask: WorkAsk): void {
    const { coordinator, selfId, scope, send, onWaiting } = this.#parts;
    const { askId, holderId } = ask;
    const decisions = coordinator.ask(ask, scope());
    this.#carryOut(decisions);
    if (decisions.some((decision) => decision.askId === askId)) {
      return;
    }
    onWaiting();
    if (holderId !== selfId) {
      send(holderId, { kind: MessageKind.Queued, askId });
    }
  }

  /** @param askId Work at a target whose first event came. */
  firstSeen(askId: string): void {
    this.#parts.coordinator.firstSeen(askId);
  }

  /** @param end How work at a target ended. */
  ended(end: WorkEnd): void {
    this.#carryOut(this.#parts.coordinator.ended(end, this.#nowMs()));
  }

  /** @param askId An ask whose place is not wanted any more. */
  dropped(askId: string): void {
    this.#carryOut(this.#parts.coordinator.dropped(askId, this.#nowMs()));
  }

  /** @param report What a holder has open; it is told what it lacks. */
  report(report: HolderReport): void {
    const { coordinator, selfId, send } = this.#parts;
    const { holderId, waiting } = report;
    const nowMs = this.#nowMs();
    this.#carryOut(coordinator.report(report, nowMs));
    const { decisions, unknownIds } = coordinator.lookUp(waiting, nowMs);
    this.#carryOut(decisions);
    if (unknownIds.length > 0 && holderId !== selfId) {
      send(holderId, { kind: MessageKind.Unknown, askIds: unknownIds });
    }
  }

  /** Lets time pass. */
  tick(): void {
    this.#carryOut(this.#parts.coordinator.tick(this.#nowMs()));
  }

  #carryOut(decisions: readonly AskDecision[]): void {
    const { selfId, send, onOwnDecision } = this.#parts;
    for (const decision of decisions) {
      if (decision.holderId === selfId) {
        onOwnDecision(decision);
      } else {
        send(decision.holderId, { kind: MessageKind.Decision, decision });
      }
    }
  }

  #nowMs(): number {
    return this.#parts.clock.nowMs();
  }
}
