/** Timeout for a target that stops sending. */

import type { LatencyModels } from "@chestnuthatch/routing/latency_models";
import type { RoutedCall } from "./routed_call.ts";
import { firstEventLimitMs, gapLimitMs } from "./silence_limits.ts";
import type { TargetAttempt } from "./target_attempt.ts";

/** An attempt whose next event or answer is awaited. */
export interface TimedAttempt {
  readonly attempt: TargetAttempt;
  /** Longest gap between two events sent to the caller so far, in ms. */
  readonly longestSeenGapMs: number;
}

/** Timer of one request, restarted with each event. */
export class SilenceTimer {
  readonly #call: RoutedCall;
  readonly #latencyModels: LatencyModels;
  readonly #onSilent: (silentMs: number) => void;
  #timer?: NodeJS.Timeout;

  /**
   * @param call The request.
   * @param latencyModels Latency models of the targets.
   * @param onSilent Called on a timeout, with its length in milliseconds.
   */
  constructor(
    call: RoutedCall,
    latencyModels: LatencyModels,
    onSilent: (silentMs: number) => void,
  ) {
    this.#call = call;
    this.#latencyModels = latencyModels;
    this.#onSilent = onSilent;
  }

  /**
   * Restarts the timer.
   *
   * @param timed An attempt that was just sent or received an event.
   */
  start(timed: TimedAttempt): void {
    this.stop();
    const limitMs = this.#limitMs(timed);
    const timer = setTimeout(() => {
      // Timers run before pending input: if this process was late, an event may
      // have arrived already, which restarts the timer.
      setImmediate(() => this.#isOver(timer) && this.#onSilent(limitMs));
    }, limitMs);
    this.#timer = timer;
  }

  /** Stops the timer. */
  stop(): void {
    clearTimeout(this.#timer);
    this.#timer = undefined;
  }

  /** Whether a timer was neither restarted nor stopped since it was set. */
  #isOver(timer: NodeJS.Timeout): boolean {
    return this.#timer === timer;
  }

  #limitMs({ attempt, longestSeenGapMs }: TimedAttempt): number {
    const { route, facts } = this.#call;
    const { target, expectedMs } = attempt.options;
    return attempt.eventCount === 0
      ? firstEventLimitMs(route, expectedMs)
      : gapLimitMs({
        route,
        latencyModel: this.#latencyModels.of(target.targetId),
        promptTokens: facts.tokens?.prompt ?? 0,
        longestSeenGapMs,
      });
  }
}
