/** Notices that a target has fallen silent while its request may go elsewhere. */

import { mayRunAgain } from "@chestnuthatch/routing/next_step";
import type { TargetPaces } from "@chestnuthatch/routing/target_paces";
import type { RoutedCall } from "./routed_call.ts";
import { firstEventLimitMs, gapLimitMs } from "./silence_limits.ts";
import type { TargetAttempt } from "./target_attempt.ts";

/** Where a watched request stands. */
export interface WatchedAttempt {
  readonly attempt: TargetAttempt;
  /** Targets that may have run the request. */
  readonly runs: number;
  /** Longest pause between events that its caller has seen. */
  readonly seenGapMs: number;
}

/** One timer for one request, set anew with each sign of life. */
export class SilenceWatch {
  readonly #call: RoutedCall;
  readonly #paces: TargetPaces;
  readonly #onSilent: (silentMs: number) => void;
  #timer?: NodeJS.Timeout;

  /**
   * @param call The request.
   * @param paces How fast targets are.
   * @param onSilent Called with the time after which the target counts as
   * silent.
   */
  constructor(
    call: RoutedCall,
    paces: TargetPaces,
    onSilent: (silentMs: number) => void,
  ) {
    this.#call = call;
    this.#paces = paces;
    this.#onSilent = onSilent;
  }

  /** @param watched The attempt that gave a sign of life, or was just sent. */
  start(watched: WatchedAttempt): void {
    this.stop();
    const { kind, maxAttempts } = this.#call.route;
    if (mayRunAgain(kind) && watched.runs < maxAttempts) {
      const limitMs = this.#limitMs(watched);
      const timer = setTimeout(() => {
        // Timers come before what has arrived meanwhile: where this instance
        // was late itself, a sign of life may be there, not yet read.
        setImmediate(() => this.#isOver(timer) && this.#onSilent(limitMs));
      }, limitMs);
      this.#timer = timer;
    }
  }

  /** Watches nothing until it is started again. */
  stop(): void {
    clearTimeout(this.#timer);
    this.#timer = undefined;
  }

  /** Whether nothing was heard since a timer was set. */
  #isOver(timer: NodeJS.Timeout): boolean {
    return this.#timer === timer;
  }

  #limitMs({ attempt, seenGapMs }: WatchedAttempt): number {
    const { route, facts } = this.#call;
    const { target, expectedMs } = attempt.order;
    return attempt.events === 0
      ? firstEventLimitMs(route, expectedMs)
      : gapLimitMs({
        route,
        pace: this.#paces.of(target.targetId),
        promptTokens: facts.tokens?.prompt ?? 0,
        seenGapMs,
      });
  }
}
