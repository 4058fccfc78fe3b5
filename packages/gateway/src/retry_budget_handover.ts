/**
 * Hands the use of the retry budgets over from one coordinator to the next, so
 * that a succession of coordinators sends no more repeats than one.
 */

import type { Coordinator } from "@chestnuthatch/routing/coordinator";
import {
  type RetryHistory,
  takenOverHistory,
} from "@chestnuthatch/routing/retry_budget";
import type { RoutingBoard } from "@chestnuthatch/routing/routing_board";
import type { Clock } from "./ports.ts";

/** Dependencies of {@link RetryBudgetHandover}. */
export interface RetryBudgetHandoverParts {
  readonly board: RoutingBoard;
  readonly coordinator: Coordinator;
  readonly clock: Clock;
}

/** Keeps what the coordinator last told about the use of the retry budgets. */
export class RetryBudgetHandover {
  readonly #parts: RetryBudgetHandoverParts;
  #received: readonly RetryHistory[] = [];
  #receivedAtMs = 0;

  /** @param parts Dependencies. */
  constructor(parts: RetryBudgetHandoverParts) {
    this.#parts = parts;
  }

  /** @param histories Sends by pool from a heartbeat of the coordinator. */
  historiesReceived(histories: readonly RetryHistory[]): void {
    this.#received = histories;
    this.#receivedAtMs = this.#parts.clock.nowMs();
  }

  /** This instance became the coordinator of all members that it reaches. */
  becameCoordinator(): void {
    const { board: { members }, clock } = this.#parts;
    this.takeOver(members.reachableShare(clock.nowMs()));
  }

  /**
   * Counts a share of the sends that the previous coordinator granted as sends
   * that this instance granted.
   *
   * @param share Share (0 to 1) of the fleet's budgets that this instance may
   * hand out.
   */
  takeOver(share: number): void {
    const { coordinator, clock } = this.#parts;
    const nowMs = clock.nowMs();
    const ageMs = nowMs - this.#receivedAtMs;
    const histories = this.#received
      .map((history) => takenOverHistory(history, { ageMs, share }));
    coordinator.importRetries(histories, nowMs);
  }
}
