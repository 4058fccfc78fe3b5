/** Turns what happens to requests into the hops of their traces. */

import { type Effect, EffectKind } from "@chestnuthatch/core/effects";
import { ClaimOutcome, EventKind } from "@chestnuthatch/core/events";
import { PeerMessageKind } from "@chestnuthatch/wire/peer_messages";
import { EngineEventKind } from "@chestnuthatch/wire/target_protocol";
import type { UntimedEvent } from "./ports.ts";
import { HopName, NO_TRACING, type RequestTracing } from "./tracing.ts";

interface Hop {
  readonly requestId: string;
  readonly name: HopName;
}

/** Watches events and effects go by. */
export class RequestHops {
  readonly #tracing: RequestTracing;

  /** @param tracing Told of each hop. */
  constructor(tracing: RequestTracing) {
    this.#tracing = tracing;
  }

  /**
   * Notes an event before the core handles it.
   *
   * @param event The event.
   * @param nowMs The instance's clock.
   */
  seen(event: UntimedEvent, nowMs: number): void {
    this.#note(this.#isOff ? undefined : hopOfEvent(event), nowMs);
  }

  /**
   * Notes an effect before it is carried out.
   *
   * @param effect The effect.
   * @param nowMs The instance's clock.
   */
  ordered(effect: Effect, nowMs: number): void {
    this.#note(this.#isOff ? undefined : hopOfEffect(effect), nowMs);
    if (
      effect.kind === EffectKind.AnswerCaller ||
      effect.kind === EffectKind.RefuseCaller
    ) {
      this.#tracing.finished(effect.requestId);
    }
  }

  get #isOff(): boolean {
    return this.#tracing === NO_TRACING;
  }

  #note(hop: Hop | undefined, nowMs: number): void {
    if (hop !== undefined) {
      this.#tracing.hop(hop.requestId, hop.name, nowMs);
    }
  }
}

function hopOfEvent(event: UntimedEvent): Hop | undefined {
  switch (event.kind) {
    case EventKind.RequestArrived:
      return { requestId: event.spec.requestId, name: HopName.Wait };
    case EventKind.ClaimAnswered:
      return event.outcome === ClaimOutcome.Held
        ? { requestId: event.requestId, name: HopName.Wait }
        : undefined;
    case EventKind.PeerMessageReceived:
      return event.message.kind === PeerMessageKind.Grant
        ? { requestId: event.message.requestId, name: HopName.Grant }
        : undefined;
    case EventKind.StreamEvent:
      return event.event.kind === EngineEventKind.Start
        ? { requestId: event.requestId, name: HopName.Stream }
        : undefined;
    default:
      return undefined;
  }
}

function hopOfEffect(effect: Effect): Hop | undefined {
  switch (effect.kind) {
    case EffectKind.WriteClaim:
      return { requestId: effect.requestId, name: HopName.Claim };
    case EffectKind.Dispatch:
      return { requestId: effect.requestId, name: HopName.Dispatch };
    case EffectKind.AnswerCaller:
    case EffectKind.RefuseCaller:
      return { requestId: effect.requestId, name: HopName.Deliver };
    default:
      return undefined;
  }
}
