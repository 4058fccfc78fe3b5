/** Calls back when a stepped model has something to give. */

import type { NowMs } from "./http_host.ts";

/** A model that says when it has something to give next. */
export interface SteppedModel {
  /** @returns The time, or undefined for never. */
  nextEventAtMs(): number | undefined;
}

/** Longest time a timer is armed for at once. */
const MAX_TIMER_MS = 60_000;

/** Keeps one timer armed for a model's next event. */
export class ModelTimer {
  readonly #model: SteppedModel;
  readonly #nowMs: NowMs;
  readonly #onDue: () => void;
  #timer: NodeJS.Timeout | undefined;

  /**
   * @param model The model.
   * @param nowMs The clock.
   * @param options What to call when the model has something to give.
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

  /** Arms the timer anew; called after every change of the model. */
  arm(): void {
    clearTimeout(this.#timer);
    const nextAtMs = this.#model.nextEventAtMs();
    if (nextAtMs === undefined) {
      return;
    }
    const leftMs = Math.ceil(nextAtMs - this.#nowMs());
    const waitMs = Math.min(MAX_TIMER_MS, Math.max(0, leftMs));
    this.#timer = setTimeout(this.#onDue, waitMs);
  }

  /** Stops the timer. */
  stop(): void {
    clearTimeout(this.#timer);
  }
}
