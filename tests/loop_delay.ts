/**
 * Measures delays of this process's event loop, which delay its stand-ins too.
 */

/** Interval of samples. */
const SAMPLE_MS = 20;

/** Delay of the event loop at one time. */
interface LateSample {
  readonly atMs: number;
  readonly lateMs: number;
}

/** Samples the delay of the event loop until it is closed. */
export class LoopDelay {
  readonly #samples: LateSample[] = [];
  readonly #timer: NodeJS.Timeout;
  #dueAtMs = performance.now() + SAMPLE_MS;

  constructor() {
    this.#timer = setInterval(() => this.#sample(), SAMPLE_MS);
  }

  /**
   * Returns the longest delay since a time.
   *
   * @param fromMs The time, by `performance.now()`.
   * @returns The delay in milliseconds.
   */
  maxDelaySinceMs(fromMs: number): number {
    const pendingMs = performance.now() - this.#dueAtMs;
    const late = this.#samples.filter(({ atMs }) => atMs >= fromMs)
      .map(({ lateMs }) => lateMs);
    return Math.round(Math.max(0, pendingMs, ...late));
  }

  /** Stops sampling. */
  close(): void {
    clearInterval(this.#timer);
  }

  #sample(): void {
    const atMs = performance.now();
    this.#samples.push({ atMs, lateMs: atMs - this.#dueAtMs });
    this.#dueAtMs = atMs + SAMPLE_MS;
  }
}
