/** History of a target's load, from which delayed load reports are made. */

import type { TargetLoad } from "@chestnuthatch/wire/shared_types";

/** Load of a target at one time, and its growth until the next sample. */
export interface LoadSample {
  readonly atMs: number;
  readonly slotsUsed: number;
  readonly kvUsedTokens: number;
  /** Growth rate of the KV memory in use until the next sample. */
  readonly kvTokensPerMs: number;
  readonly waitingRequests: number;
  readonly leaving: boolean;
}

/** Constant figures of a target's load reports, and their age. */
export interface LoadHistoryOptions {
  readonly targetId: string;
  readonly slotsTotal: number;
  readonly kvTotalTokens: number;
  /** Age of the reported load. */
  readonly lagMs: number;
}

/** Load samples of one target, kept as long as reports need them. */
export class LoadHistory {
  readonly #options: LoadHistoryOptions;
  readonly #samples: LoadSample[] = [];

  /** @param options Constant figures of the load reports, and their age. */
  constructor(options: LoadHistoryOptions) {
    this.#options = options;
  }

  /** @param sample The load from now on. */
  record(sample: LoadSample): void {
    if (this.#samples.at(-1)?.atMs === sample.atMs) {
      this.#samples.pop();
    }
    this.#samples.push(sample);
    this.#prune(sample.atMs - this.#options.lagMs);
  }

  /** Discards all samples, for when the target's process ends. */
  clear(): void {
    this.#samples.length = 0;
  }

  /**
   * Reports the load as it was one lag before now.
   *
   * @param nowMs The time now.
   * @returns The load report; it shows no load before the first sample.
   */
  report(nowMs: number): TargetLoad {
    const { targetId, slotsTotal, kvTotalTokens, lagMs } = this.#options;
    const reportedAtMs = nowMs - lagMs;
    const sample = this.#samples.findLast(({ atMs }) => atMs <= reportedAtMs);
    const grownKvTokens = sample === undefined
      ? 0
      : (reportedAtMs - sample.atMs) * sample.kvTokensPerMs;
    return {
      targetId,
      ageMs: lagMs,
      slotsUsed: sample?.slotsUsed ?? 0,
      slotsTotal,
      kvUsedTokens: Math.floor((sample?.kvUsedTokens ?? 0) + grownKvTokens),
      kvTotalTokens,
      waitingRequests: sample?.waitingRequests ?? 0,
      leaving: sample?.leaving ?? false,
    };
  }

  #prune(oldestReportedMs: number): void {
    const firstNeededIndex = this.#samples.findLastIndex(({ atMs }) =>
      atMs <= oldestReportedMs
    );
    if (firstNeededIndex > 0) {
      this.#samples.splice(0, firstNeededIndex);
    }
  }
}
