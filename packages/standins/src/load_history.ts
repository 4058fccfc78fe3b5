/** Past load of a target, so that its reports can lag. */

import type { TargetLoad } from "@chestnuthatch/wire/shared_types";

/** Load at one moment, and how it grew from then on. */
export interface LoadSample {
  readonly atMs: number;
  readonly slotsUsed: number;
  readonly kvUsedTokens: number;
  /** Growth of the KV memory in use until the next sample. */
  readonly kvTokensPerMs: number;
  readonly waitingRequests: number;
  readonly leaving: boolean;
}

/** What does not change about a target. */
export interface LoadHistoryOptions {
  readonly targetId: string;
  readonly slotsTotal: number;
  readonly kvTotalTokens: number;
  /** How old the reported state is. */
  readonly lagMs: number;
}

/** Keeps samples no longer than the lag asks for. */
export class LoadHistory {
  readonly #options: LoadHistoryOptions;
  readonly #samples: LoadSample[] = [];

  /** @param options What does not change about the target. */
  constructor(options: LoadHistoryOptions) {
    this.#options = options;
  }

  /** @param sample Load from now on. */
  record(sample: LoadSample): void {
    if (this.#samples.at(-1)?.atMs === sample.atMs) {
      this.#samples.pop();
    }
    this.#samples.push(sample);
    this.#prune(sample.atMs - this.#options.lagMs);
  }

  /** Forgets all samples, as when the process dies. */
  clear(): void {
    this.#samples.length = 0;
  }

  /**
   * Reports the load as it was one lag ago.
   *
   * @param nowMs The time now.
   * @returns The report.
   */
  report(nowMs: number): TargetLoad {
    const { targetId, slotsTotal, kvTotalTokens, lagMs } = this.#options;
    const thenMs = nowMs - lagMs;
    const sample = this.#samples.findLast(({ atMs }) => atMs <= thenMs);
    const grown = sample === undefined
      ? 0
      : (thenMs - sample.atMs) * sample.kvTokensPerMs;
    return {
      targetId,
      ageMs: lagMs,
      slotsUsed: sample?.slotsUsed ?? 0,
      slotsTotal,
      kvUsedTokens: Math.floor((sample?.kvUsedTokens ?? 0) + grown),
      kvTotalTokens,
      waitingRequests: sample?.waitingRequests ?? 0,
      leaving: sample?.leaving ?? false,
    };
  }

  #prune(oldestMs: number): void {
    const needed = this.#samples.findLastIndex(({ atMs }) => atMs <= oldestMs);
    if (needed > 0) {
      this.#samples.splice(0, needed);
    }
  }
}
