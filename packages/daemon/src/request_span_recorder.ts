/** Starts the spans of requests from events and effects of the core. */

import { type Effect, EffectKind } from "@chestnuthatch/core/effects";
import { ClaimOutcome, EventKind } from "@chestnuthatch/core/events";
import { PeerMessageKind } from "@chestnuthatch/wire/peer_messages";
import { EngineEventKind } from "@chestnuthatch/wire/target_protocol";
import type { UntimedEvent } from "./ports.ts";
import {
  NO_OP_REQUEST_TRACER,
  type RequestTracer,
  SpanName,
} from "./request_tracer.ts";

/** A span that begins with an event or effect. */
interface SpanStart {
  readonly requestId: string;
  readonly name: SpanName;
}

/** Derives the spans of each request from the events and effects about it. */
export class RequestSpanRecorder {
  readonly #tracer: RequestTracer;

  /** @param tracer Records the spans. */
  constructor(tracer: RequestTracer) {
    this.#tracer = tracer;
  }

  /**
   * Starts the span that an event begins, if any. Must be called before the
   * core handles the event.
   *
   * @param event Event to be handled.
   * @param nowMs Time on the instance's clock, in milliseconds.
   */
  onEvent(event: UntimedEvent, nowMs: number): void {
    this.#startSpan(
      this.#isDisabled ? undefined : spanStartForEvent(event),
      nowMs,
    );
  }

  /**
   * Starts the span that an effect begins, if any, and ends the trace of a
   * request that gets its outcome. Must be called before the effect is
   * executed.
   *
   * @param effect Effect to be executed.
   * @param nowMs Time on the instance's clock, in milliseconds.
   */
  onEffect(effect: Effect, nowMs: number): void {
    this.#startSpan(
      this.#isDisabled ? undefined : spanStartForEffect(effect),
      nowMs,
    );
    if (
      effect.kind === EffectKind.AnswerCaller ||
      effect.kind === EffectKind.RefuseCaller
    ) {
      this.#tracer.endTrace(effect.requestId);
    }
  }

  get #isDisabled(): boolean {
    return this.#tracer === NO_OP_REQUEST_TRACER;
  }

  #startSpan(start: SpanStart | undefined, nowMs: number): void {
    if (start !== undefined) {
      this.#tracer.startSpan(start.requestId, start.name, nowMs);
    }
  }
}

function spanStartForEvent(event: UntimedEvent): SpanStart | undefined {
  switch (event.kind) {
    case EventKind.RequestArrived:
      return { requestId: event.spec.requestId, name: SpanName.Wait };
    case EventKind.ClaimAnswered:
      return event.outcome === ClaimOutcome.Held
        ? { requestId: event.requestId, name: SpanName.Wait }
        : undefined;
    case EventKind.PeerMessageReceived:
      return event.message.kind === PeerMessageKind.Grant
        ? { requestId: event.message.requestId, name: SpanName.Grant }
        : undefined;
    case EventKind.StreamEvent:
      return event.event.kind === EngineEventKind.Start
        ? { requestId: event.requestId, name: SpanName.Stream }
        : undefined;
    default:
      return undefined;
  }
}

function spanStartForEffect(effect: Effect): SpanStart | undefined {
  switch (effect.kind) {
    case EffectKind.WriteClaim:
      return { requestId: effect.requestId, name: SpanName.Claim };
    case EffectKind.Dispatch:
      return { requestId: effect.requestId, name: SpanName.Dispatch };
    case EffectKind.AnswerCaller:
    case EffectKind.RefuseCaller:
      return { requestId: effect.requestId, name: SpanName.Deliver };
    default:
      return undefined;
  }
}
