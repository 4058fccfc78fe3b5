/** The streams of an engine before their prompt work, and the slots taken. */

import { type EngineStream, StreamPhase } from "./engine_stream.ts";

/** What an engine has room for. */
export interface AdmissionLimits {
  readonly slots: number;
  readonly kvTokens: number;
}

/** Admits streams in the order they come, as slots and KV memory allow. */
export class AdmissionQueue {
  readonly #limits: AdmissionLimits;
  /** In the order they came. */
  #waiting: EngineStream[] = [];
  /** Hold a slot and await their prompt work, in order. */
  #admitted: EngineStream[] = [];
  #slotsUsed = 0;
  #reservedKvTokens = 0;

  /** @param limits What the engine has room for. */
  constructor(limits: AdmissionLimits) {
    this.#limits = limits;
  }

  /** @returns Number of streams without a slot. */
  get waitingRequests(): number {
    return this.#waiting.length;
  }

  /** @returns Number of slots taken by streams in any phase. */
  get slotsUsed(): number {
    return this.#slotsUsed;
  }

  /** @returns KV memory that the prompts of admitted streams take. */
  get admittedPromptTokens(): number {
    return this.#admitted.reduce(
      (sum, { promptTokens }) => sum + promptTokens,
      0,
    );
  }

  /** @param stream A stream that waits from now on. */
  add(stream: EngineStream): void {
    this.#waiting.push(stream);
  }

  /** Admits waiting streams until one finds no room. */
  admitWaiting(): void {
    let next = this.#waiting.at(0);
    while (next !== undefined && this.#hasRoomFor(next)) {
      this.#waiting.shift();
      next.phase = StreamPhase.Admitted;
      this.#slotsUsed += 1;
      this.#reservedKvTokens += next.reservedKvTokens;
      this.#admitted.push(next);
      next = this.#waiting.at(0);
    }
  }

  /** @returns The admitted stream whose prompt work is to begin, if any. */
  takeAdmitted(): EngineStream | undefined {
    return this.#admitted.shift();
  }

  /** @param stream A stream that ends, whatever its phase. */
  release(stream: EngineStream): void {
    if (stream.phase !== StreamPhase.Waiting) {
      this.#slotsUsed -= 1;
      this.#reservedKvTokens -= stream.reservedKvTokens;
    }
    this.#waiting = this.#waiting.filter((other) => other !== stream);
    this.#admitted = this.#admitted.filter((other) => other !== stream);
  }

  /** Forgets all streams. */
  clear(): void {
    this.#waiting = [];
    this.#admitted = [];
    this.#slotsUsed = 0;
    this.#reservedKvTokens = 0;
  }

  #hasRoomFor(stream: EngineStream): boolean {
    const reserved = this.#reservedKvTokens + stream.reservedKvTokens;
    return this.#slotsUsed < this.#limits.slots &&
      reserved <= this.#limits.kvTokens;
  }
}
