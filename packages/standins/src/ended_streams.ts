/** Ended streams of an engine, retained so that callers can resume them. */

import { type EngineStream } from "./engine_stream.ts";

const ENDED_STREAM_RETENTION_MS = 60_000;
const MAX_ENDED_STREAMS = 2_000;

/** Retains ended streams up to an age and a number, evicting the oldest. */
export class EndedStreams {
  readonly #streams = new Map<string, EngineStream>();

  /**
   * Adds a stream and evicts old ones.
   *
   * @param key The attempt's key.
   * @param stream The stream, which has ended now.
   */
  add(key: string, stream: EngineStream): void {
    this.#streams.set(key, stream);
    const oldestRetainedMs = stream.endedAtMs - ENDED_STREAM_RETENTION_MS;
    for (const [otherKey, { endedAtMs }] of this.#streams) {
      if (
        endedAtMs > oldestRetainedMs && this.#streams.size <= MAX_ENDED_STREAMS
      ) {
        return;
      }
      this.#streams.delete(otherKey);
    }
  }

  /**
   * Finds an ended stream.
   *
   * @param key The attempt's key.
   * @returns The stream, or undefined if unknown or evicted.
   */
  get(key: string): EngineStream | undefined {
    return this.#streams.get(key);
  }

  /** Discards all streams, for when the engine's process ends. */
  clear(): void {
    this.#streams.clear();
  }
}
