/** Streams that ended, kept for a while so that they can be resumed. */

import { type EngineStream } from "./engine_stream.ts";

const KEEP_ENDED_MS = 60_000;
const MAX_ENDED_KEPT = 2_000;

/** Bounded in time and number, oldest out first. */
export class EndedStreams {
  readonly #streams = new Map<string, EngineStream>();

  /**
   * Keeps a stream and lets go of old ones.
   *
   * @param key The attempt's key.
   * @param stream The stream, ended just now.
   */
  keep(key: string, stream: EngineStream): void {
    this.#streams.set(key, stream);
    const oldestMs = stream.endedAtMs - KEEP_ENDED_MS;
    for (const [otherKey, { endedAtMs }] of this.#streams) {
      if (endedAtMs > oldestMs && this.#streams.size <= MAX_ENDED_KEPT) {
        return;
      }
      this.#streams.delete(otherKey);
    }
  }

  /**
   * Finds a stream.
   *
   * @param key The attempt's key.
   * @returns The stream, unless unknown or let go of.
   */
  get(key: string): EngineStream | undefined {
    return this.#streams.get(key);
  }

  /** Forgets all, as when the process dies. */
  clear(): void {
    this.#streams.clear();
  }
}
