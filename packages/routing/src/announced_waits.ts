/**
 * Waits that the coordinator announced, kept by a holder, which refuses by them
 * the asks that the coordinator would refuse.
 *
 * They address sustained overload in a large fleet, where most attempts are
 * refused and each of them would take processor time at the one coordinator.
 */

import type { AdmissionForecast } from "./admission_forecast.ts";
import type { Refusal } from "./recent_refusals.ts";
import { AskCause, AskRefusal, type WorkAsk } from "./work_ask.ts";

/** Age up to which forecasts are valid: three heartbeats of the coordinator. */
const MAX_AGE_MS = 660;

/** Lower bound of the retry delay, the same as that of the coordinator. */
const MIN_RETRY_AFTER_MS = 500;

/** The newest forecasts of a coordinator. */
export class AnnouncedWaits {
  #coordinatorId?: string;
  #forecasts: readonly AdmissionForecast[] = [];
  #recordedAtMs = -Infinity;

  /**
   * Replaces the forecasts.
   *
   * @param coordinatorId Instance id of the coordinator that announced them.
   * @param forecasts All forecasts that it announced; empty if waits are short.
   * @param nowMs Current local time in milliseconds.
   */
  record(
    coordinatorId: string,
    forecasts: readonly AdmissionForecast[],
    nowMs: number,
  ): void {
    this.#coordinatorId = coordinatorId;
    this.#forecasts = forecasts;
    this.#recordedAtMs = nowMs;
  }

  /**
   * Refuses an ask if the coordinator would certainly refuse it. The wait of a
   * queue decreases by at most one millisecond per millisecond, so the age of a
   * forecast is subtracted from it.
   *
   * @param ask The ask.
   * @param of Instance id of the coordinator that the holder would ask now, and
   * the current local time in milliseconds.
   * @returns The refusal; undefined if the coordinator has to be asked.
   */
  refusalFor(
    ask: WorkAsk,
    { coordinatorId, nowMs }: { coordinatorId: string; nowMs: number },
  ): Refusal | undefined {
    const ageMs = nowMs - this.#recordedAtMs;
    const isValid = coordinatorId === this.#coordinatorId &&
      ageMs <= MAX_AGE_MS;
    const isOfAnyVersion = ask.version === undefined && !ask.takesUp;
    if (!isValid || !isOfAnyVersion || ask.cause !== AskCause.First) {
      return undefined;
    }
    const forecast = this.#forecasts
      .find(({ pool, rank }) => pool === ask.pool && rank === ask.rank);
    if (forecast === undefined) {
      return undefined;
    }
    const { waitMs } = forecast;
    const { askId, holderId, patienceLeftMs } = ask;
    return waitMs - ageMs <= patienceLeftMs ? undefined : {
      askId,
      holderId,
      refusal: AskRefusal.Overload,
      retryAfterMs: Math.max(MIN_RETRY_AFTER_MS, waitMs - ageMs),
      figures: {
        waitMs,
        ageMs: Math.round(ageMs),
        leftMs: Math.round(patienceLeftMs),
      },
    };
  }
}
