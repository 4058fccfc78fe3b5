/**
 * What the ranks of a workspace ask for, so that where its allotment runs short
 * the least valuable work is refused.
 */

import { SpendingLog } from "./spending_log.ts";

/**
 * Time over which it is seen what a rank asks for: long against the pauses
 * between requests of one workspace, short against surges, which last seconds.
 */
const ASKED_MS = 2000;

/**
 * Share of a window's bound that is kept for higher ranks at most, so that no
 * rank is shut out.
 */
const MOST_KEPT = 0.8;

/**
 * A request that costs less than this part of what one of a higher rank costs
 * takes next to nothing from it: nothing is kept against it. Plain calls cost
 * about a twentieth of a prompt; kept against them, a tenth more were refused.
 */
const CHEAP_PART = 0.1;

/** How much one request moves the mean cost of its rank. */
const COST_LEARNING_RATE = 0.05;

/** Cost units by rank, asked for lately and spent within the window. */
export class RankDemand {
  readonly #windowMs: number;
  readonly #asked = new SpendingLog(ASKED_MS);
  readonly #spent: SpendingLog;
  /** Mean cost of a request, by workspace and rank. */
  readonly #meanCosts = new Map<string, Map<number, number>>();

  /** @param windowMs Time over which spending is bounded. */
  constructor(windowMs: number) {
    this.#windowMs = windowMs;
    this.#spent = new SpendingLog(windowMs);
  }

  /**
   * @param workspace Who asks.
   * @param of Cost and rank of the request, and the local time.
   */
  asked(
    workspace: string,
    of: { cost: number; rank: number; nowMs: number },
  ): void {
    const { cost, rank, nowMs } = of;
    const means = this.#meanCosts.get(workspace) ?? new Map<number, number>();
    const mean = means.get(rank) ?? cost;
    means.set(rank, mean + COST_LEARNING_RATE * (cost - mean));
    this.#meanCosts.set(workspace, means);
    this.#asked.note(keyOf(workspace, rank), cost, nowMs);
  }

  /**
   * @param workspace Who spent.
   * @param of Cost, negative where it is given back, and rank of the request,
   * and the local time.
   */
  spent(
    workspace: string,
    of: { cost: number; rank: number; nowMs: number },
  ): void {
    this.#spent.note(keyOf(workspace, of.rank), of.cost, of.nowMs);
  }

  /**
   * Tells what the ranks above one will still spend within a window if they go
   * on asking as they do.
   *
   * @param workspace A workspace.
   * @param of The rank and cost of a request, the bound on the workspace's
   * spending in a window, and the local time.
   * @returns Cost units to be kept for them.
   */
  keptAbove(
    workspace: string,
    of: { rank: number; cost: number; bound: number; nowMs: number },
  ): number {
    const { rank, cost, bound, nowMs } = of;
    let asked = 0;
    let spent = 0;
    for (const [above, meanCost] of this.#meanCosts.get(workspace) ?? []) {
      if (above < rank && cost >= CHEAP_PART * meanCost) {
        const key = keyOf(workspace, above);
        asked += this.#asked.spent(key, nowMs);
        spent += this.#spent.spent(key, nowMs);
      }
    }
    const inWindow = asked * this.#windowMs / ASKED_MS;
    return Math.max(0, Math.min(inWindow, MOST_KEPT * bound) - spent);
  }
}

function keyOf(workspace: string, rank: number): string {
  return `${rank} ${workspace}`;
}
