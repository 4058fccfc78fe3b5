import { Coordinator } from "@chestnuthatch/routing/coordinator";
import { boardOf } from "@chestnuthatch/routing/routing_test_support";
import { test } from "uvu";
import * as assert from "uvu/assert";
import { RetryBudgetHandover } from "./retry_budget_handover.ts";

const BOUNDS = {
  retryBudget: { ratio: 0.2, slack: 100, windowS: 3 },
  allotmentTolerance: { windowMs: 8000, overage: 0, slack: 0 },
};

/** Handover of an instance on a manual clock. */
class HandoverOnClock {
  nowMs = 0;
  readonly #coordinator: Coordinator;
  readonly handover: RetryBudgetHandover;

  constructor() {
    const board = boardOf([]);
    this.#coordinator = new Coordinator(board, BOUNDS);
    this.handover = new RetryBudgetHandover({
      board,
      coordinator: this.#coordinator,
      clock: { nowMs: () => this.nowMs },
    });
  }

  report(coordinatorId: string, repeats: readonly number[]): void {
    const firstSends = repeats.map(() => 0);
    const history = { pool: "p", firstSends, repeats };
    this.handover.reportReceived(coordinatorId, [history]);
  }

  /** Repeats by age that this instance counts as its own. */
  get ownRepeats(): readonly number[] {
    const [history] = this.#coordinator.retryHistories(this.nowMs);
    return history?.repeats ?? [];
  }
}

// Guards against a coordinator that has just started and knows of no repeats:
// its heartbeats made all others forget those of the coordinator before it.
test("a report with fewer repeats does not replace that of another coordinator", () => {
  const fixture = new HandoverOnClock();
  fixture.report("i2", [20, 10, 0]);
  fixture.nowMs = 1000;
  fixture.report("i3", [3, 0, 0]);
  fixture.handover.becameCoordinator();
  assert.equal(fixture.ownRepeats, [3, 20, 10]);
});

test("an instance that acts for a silent coordinator counts its share", () => {
  const fixture = new HandoverOnClock();
  fixture.report("i2", [20, 10, 0]);
  fixture.handover.becameActingCoordinator(0.25);
  fixture.handover.becameActingCoordinator(0.25);
  assert.equal(fixture.ownRepeats, [5, 2.5, 0]);
});

test.run();
