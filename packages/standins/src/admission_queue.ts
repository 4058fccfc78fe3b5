/** Queue of an engine's streams before their prefill, with slot accounting. */

import { type EngineStream, StreamPhase } from "./engine_stream.ts";

/** Slots and KV memory of an engine. */
export interface AdmissionLimits {
  readonly slots: number;
  readonly kvTokens: number;
}

/** Admits streams in order of arrival as slots and KV memory become free. */
export class AdmissionQueue {
  readonly #limits: AdmissionLimits;
  /** Streams without a slot, in order of arrival. */
  #waiting: EngineStream[] = [];
  /** Streams with a slot whose prefill has not started, in order. */
  #admitted: EngineStream[] = [];
  #slotsUsed = 0;
  #reservedKvTokens = 0;

  /** @param limits Slots and KV memory of the engine. */
  constructor(limits: AdmissionLimits) {
    this.#limits = limits;
  }

  /** @returns Number of queued streams without a slot. */
  get waitingRequests(): number {
    return this.#waiting.length;
  }

  /** @returns Number of slots in use by streams in any phase. */
  get slotsUsed(): number {
    return this.#slotsUsed;
  }

  /** @returns KV memory in tokens used by the prompts of admitted streams. */
  get admittedPromptTokens(): number {
    return this.#admitted.reduce(
      (sum, { promptTokens }) => sum + promptTokens,
      0,
    );
  }

  /** @param stream A new stream, which is queued. */
  add(stream: EngineStream): void {
    this.#waiting.push(stream);
  }

  /** Admits waiting streams in order until the first that does not fit. */
  admitWaiting(): void {
    let next = this.#waiting.at(0);
    while (next !== undefined && this.#hasCapacityFor(next)) {
      this.#waiting.shift();
      next.phase = StreamPhase.Admitted;
      this.#slotsUsed += 1;
      this.#reservedKvTokens += next.reservedKvTokens;
      this.#admitted.push(next);
      next = this.#waiting.at(0);
    }
  }

  /**
   * Removes the first admitted stream, whose prefill starts next.
   *
   * @returns The stream, or undefined if none is admitted.
   */
  dequeueAdmitted(): EngineStream | undefined {
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

  /** Discards all streams and frees their slots and KV memory. */
  clear(): void {
    this.#waiting = [];
    this.#admitted = [];
    this.#slotsUsed = 0;
    this.#reservedKvTokens = 0;
  }

  #hasCapacityFor(stream: EngineStream): boolean {
    const reserved = this.#reservedKvTokens + stream.reservedKvTokens;
    return this.#slotsUsed < this.#limits.slots &&
      reserved <= this.#limits.kvTokens;
  }
}
