/** Timer that fires when a simulated model has an output. */

import type { NowMs } from "./http_server.ts";

/** A simulated model that knows when its next output is due. */
export interface SteppedModel {
  /** @returns Time of the next output, or undefined for never. */
  nextOutputAtMs(): number | undefined;
}

/**
 * Longest timeout set at once; a later output is waited for in several
 * timeouts.
 */
const MAX_TIMEOUT_MS = 60_000;

/** Schedules one timer for the next output of a model. */
export class ModelTimer {
  readonly #model: SteppedModel;
  readonly #nowMs: NowMs;
  readonly #onDue: () => void;
  #timer: NodeJS.Timeout | undefined;

  /**
   * @param model The model.
   * @param nowMs The clock.
   * @param options Callback for when the model may have an output.
   */
  constructor(
    model: SteppedModel,
    nowMs: NowMs,
    options: { readonly onDue: () => void },
  ) {
    this.#model = model;
    this.#nowMs = nowMs;
    this.#onDue = options.onDue;
  }

  /** Reschedules the timer; must be called after every change of the model. */
  schedule(): void {
    clearTimeout(this.#timer);
    const nextAtMs = this.#model.nextOutputAtMs();
    if (nextAtMs === undefined) {
      return;
    }
    const remainingMs = Math.ceil(nextAtMs - this.#nowMs());
    const waitMs = Math.min(MAX_TIMEOUT_MS, Math.max(0, remainingMs));
    this.#timer = setTimeout(this.#onDue, waitMs);
  }

  /** Cancels the timer. */
  stop(): void {
    clearTimeout(this.#timer);
  }
}
