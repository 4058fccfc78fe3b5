/** Pool and software version that one request's stream has to keep to. */

import { RequestKind } from "@chestnuthatch/routing/fleet_configuration";
import {
  returnWindowMs,
  streamKeyOf,
  type StreamOrigin,
} from "@chestnuthatch/routing/stream_origins";
import type { KnownTarget } from "@chestnuthatch/routing/target_directory";
import type { WorkAsk } from "@chestnuthatch/routing/work_ask";
import type { GatewayParts } from "./gateway_parts.ts";
import type { RoutedCall } from "./routed_call.ts";

/** Fields of an ask that tell which targets its stream may go on at. */
export type StreamAskFields = Pick<
  WorkAsk,
  "streamKey" | "takesUp" | "version"
>;

/**
 * Tracks the version that began a stream: in this answer, in an earlier one of
 * this instance, or, as the coordinator tells, of another instance.
 */
export class StreamVersion {
  readonly #parts: Pick<GatewayParts, "board" | "clock">;
  readonly #call: RoutedCall;
  readonly #key?: number;
  readonly #takesUp: boolean;
  #origin?: StreamOrigin;
  #hasBegun = false;

  /**
   * @param parts The instance's parts.
   * @param call The request.
   */
  constructor(parts: Pick<GatewayParts, "board" | "clock">, call: RoutedCall) {
    this.#parts = parts;
    this.#call = call;
    this.#takesUp = call.facts.resumeAfter !== undefined;
    this.#key = keyOf(call);
    if (this.#takesUp && this.#key !== undefined) {
      const { board, clock } = parts;
      this.#origin = board.streamOrigins.get(this.#key, clock.nowMs());
    }
  }

  /** Whether the stream began in another pool, so that it can't go on here. */
  get isOfOtherPool(): boolean {
    return this.#origin !== undefined && this.#origin.pool !== this.#call.pool;
  }

  /** What an ask for the next placement has to state. */
  get askFields(): StreamAskFields {
    return {
      ...(this.#key === undefined ? undefined : { streamKey: this.#key }),
      ...(this.#origin !== undefined
        ? { version: this.#origin.version }
        : this.#takesUp
        ? { takesUp: true }
        : undefined),
    };
  }

  /**
   * @param target A target that the coordinator assigned.
   * @returns Whether the stream may begin or go on there.
   */
  mayGoOnAt({ version }: KnownTarget): boolean {
    return this.#origin === undefined || this.#origin.version === version;
  }

  /**
   * Records that the request is sent to a target. For a stream that is taken
   * up, the coordinator has chosen one of the version that began it.
   *
   * @param target The target.
   */
  sentTo({ pool, version }: KnownTarget): void {
    if (this.#takesUp) {
      this.#origin ??= { pool, version };
    }
  }

  /**
   * Records that a target brought the first event of this answer.
   *
   * @param target The target.
   */
  began({ pool, version }: KnownTarget): void {
    this.#origin ??= { pool, version };
    if (this.#hasBegun || this.#key === undefined) {
      return;
    }
    this.#hasBegun = true;
    const { board, clock } = this.#parts;
    board.streamOrigins.record(this.#key, this.#origin, {
      nowMs: clock.nowMs(),
      windowMs: returnWindowMs(board.routes),
      isOwn: true,
    });
  }

  /** Records that the stream was completed. */
  completed(): void {
    if (this.#key !== undefined) {
      const { board, clock } = this.#parts;
      board.streamOrigins.completed(this.#key, clock.nowMs());
    }
  }
}

/** Only streams that may be resumed can be taken up by their callers. */
function keyOf({ facts, route, workspace }: RoutedCall): number | undefined {
  if (route.kind !== RequestKind.ResumableStream) {
    return undefined;
  }
  const beganAs = facts.resumeAfter === undefined
    ? facts.requestId
    : facts.resumes;
  return beganAs === undefined
    ? undefined
    : streamKeyOf(workspace?.name ?? "", beganAs);
}
