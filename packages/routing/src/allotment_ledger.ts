/** What is left of workspaces' allotments: a token bucket for each. */

import type { Allotment } from "./fleet_configuration.ts";
import { LOOK_BACK_S } from "./spending_log.ts";

const MS_PER_S = 1000;

interface Bucket {
  level: number;
  filledAtMs: number;
  perS: number;
  burst: number;
}

/** Outcome of a charge. */
export interface ChargeResult {
  readonly allowed: boolean;
  /** When the charge would pass, where it does not. */
  readonly retryAfterMs: number;
}

/** Share of the fleet's allotments that a ledger may hand out, and the time. */
export interface LedgerScope {
  /** Above 0, at most 1. */
  readonly share: number;
  readonly nowMs: number;
}

/** Buckets by workspace. */
export class AllotmentLedger {
  readonly #buckets = new Map<string, Bucket>();

  /**
   * Charges a request to its workspace if the allotment allows it.
   *
   * @param workspace Name of the workspace.
   * @param allotment What it may spend, over the whole fleet.
   * @param of The request's cost, the ledger's share and the time.
   * @returns Whether it was charged, and else when to come back.
   */
  charge(
    workspace: string,
    allotment: Allotment,
    of: LedgerScope & { cost: number },
  ): ChargeResult {
    const bucket = this.#refilled(workspace, allotment, of);
    // One request dearer than the whole burst passes on a full bucket;
    // else it could never run at all.
    const needed = Math.min(of.cost, bucket.burst);
    if (bucket.level < needed) {
      const missing = needed - bucket.level;
      return {
        allowed: false,
        retryAfterMs: Math.ceil(missing / bucket.perS * MS_PER_S),
      };
    }
    bucket.level -= of.cost;
    return { allowed: true, retryAfterMs: 0 };
  }

  /**
   * Gives back a charge whose request never ran.
   *
   * @param workspace Name of the workspace.
   * @param cost What was charged.
   */
  refund(workspace: string, cost: number): void {
    const bucket = this.#buckets.get(workspace);
    if (bucket !== undefined) {
      bucket.level = Math.min(bucket.burst, bucket.level + cost);
    }
  }

  /**
   * Holds a bucket to what its workspace spent lately, through this ledger or
   * any other. No bucket that was filled all the while can hold more, so this
   * changes nothing but for a ledger that was empty when others charged.
   *
   * @param workspace Name of the workspace.
   * @param allotment What it may spend, over the whole fleet.
   * @param of Cost units spent within the look-back, share and time.
   */
  holdTo(
    workspace: string,
    allotment: Allotment,
    of: LedgerScope & { spent: number },
  ): void {
    const bucket = this.#refilled(workspace, allotment, of);
    const left = bucket.burst + LOOK_BACK_S * bucket.perS - of.spent;
    bucket.level = Math.min(bucket.level, left);
  }

  #refilled(
    workspace: string,
    allotment: Allotment,
    of: LedgerScope,
  ): Bucket {
    const perS = allotment.perS * of.share;
    const burst = allotment.burst * of.share;
    let bucket = this.#buckets.get(workspace);
    if (bucket === undefined) {
      bucket = { level: burst, filledAtMs: of.nowMs, perS, burst };
      this.#buckets.set(workspace, bucket);
    }
    const gain = bucket.perS * (of.nowMs - bucket.filledAtMs) / MS_PER_S;
    bucket.level = Math.min(burst, bucket.level + gain);
    bucket.filledAtMs = of.nowMs;
    bucket.perS = perS;
    bucket.burst = burst;
    return bucket;
  }
}
