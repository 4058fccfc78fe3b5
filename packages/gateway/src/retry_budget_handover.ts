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
import type { InheritedAccount } from "./assigning_role.ts";
import type { Clock } from "./ports.ts";

/** Time after which a report is dropped; longer than any window of budgets. */
const REPORT_LIFETIME_MS = 60_000;

/** Dependencies of {@link RetryBudgetHandover}. */
export interface RetryBudgetHandoverParts {
  readonly board: RoutingBoard;
  readonly coordinator: Coordinator;
  readonly clock: Clock;
}

/** Last report of a coordinator, and the local time when it was received. */
interface RetryReport {
  readonly histories: readonly RetryHistory[];
  readonly receivedAtMs: number;
}

/** Keeps the last report of each coordinator about the sends that it granted. */
export class RetryBudgetHandover implements InheritedAccount {
  readonly #parts: RetryBudgetHandoverParts;
  /**
   * Reports by instance id. Each is kept: a coordinator that has just started
   * may report fewer sends than those before it.
   */
  readonly #reports = new Map<string, RetryReport>();

  /** @param parts Dependencies. */
  constructor(parts: RetryBudgetHandoverParts) {
    this.#parts = parts;
  }

  /**
   * Records the report in a coordinator's heartbeat.
   *
   * @param coordinatorId Instance id of the coordinator.
   * @param histories Sends by pool.
   */
  reportReceived(
    coordinatorId: string,
    histories: readonly RetryHistory[],
  ): void {
    const receivedAtMs = this.#parts.clock.nowMs();
    this.#reports.set(coordinatorId, { histories, receivedAtMs });
  }

  /** This instance became the coordinator of all members that it reaches. */
  becameCoordinator(): void {
    const { board: { members }, clock } = this.#parts;
    this.becameActingCoordinator(members.shares.reachable(clock.nowMs()));
  }

  /**
   * Counts a share of the reported sends as sends that this instance granted.
   *
   * @param share Share (0 to 1) of the fleet's budgets that this instance may
   * hand out.
   */
  becameActingCoordinator(share: number): void {
    const { coordinator, clock } = this.#parts;
    const nowMs = clock.nowMs();
    for (const [coordinatorId, report] of this.#reports) {
      const { histories, receivedAtMs } = report;
      const ageMs = nowMs - receivedAtMs;
      if (ageMs > REPORT_LIFETIME_MS) {
        this.#reports.delete(coordinatorId);
        continue;
      }
      const takenOver = histories
        .map((history) => takenOverHistory(history, { ageMs, share }));
      coordinator.importRetries(takenOver, nowMs);
    }
  }
}
