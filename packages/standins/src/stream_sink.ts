/** HTTP response that carries one engine stream, with injected faults. */

import type { ServerResponse } from "node:http";
import {
  type EngineEvent,
  EngineEventKind,
} from "@chestnuthatch/wire/target_protocol";
import { DelayedWriter } from "./delayed_writer.ts";
import type { AttemptRef } from "./engine_stream.ts";
import type { NowMs } from "./http_server.ts";

/** Faults injected into one response. */
export interface StreamFaults {
  /** Index of the token in whose place the connection is closed. */
  readonly breakAtToken?: number;
  /** Another attempt's ids, which the events carry in place of their own. */
  readonly crossedAttempt?: AttemptRef;
  /** Whether the end event is sent twice. */
  readonly duplicateEnd: boolean;
}

/** Faults of a response without faults. */
export const NO_STREAM_FAULTS: StreamFaults = { duplicateEnd: false };

const HTTP_OK = 200;

/** Writes engine events to one response as NDJSON lines. */
export class StreamSink {
  readonly #response: ServerResponse;
  readonly #writer: DelayedWriter;
  readonly #faults: StreamFaults;

  /**
   * Sends the status line and headers of the response.
   *
   * @param response The response.
   * @param nowMs The clock.
   * @param faults Faults to inject.
   */
  constructor(response: ServerResponse, nowMs: NowMs, faults: StreamFaults) {
    this.#response = response;
    this.#writer = new DelayedWriter(response, nowMs);
    this.#faults = faults;
    response.writeHead(HTTP_OK, { "content-type": "application/x-ndjson" });
    response.flushHeaders();
  }

  /**
   * Sends one event.
   *
   * @param event The event.
   * @param delayMs Delay before the event is sent.
   * @returns Whether the response stays open for further events.
   */
  send(event: EngineEvent, delayMs: number): boolean {
    const { breakAtToken, crossedAttempt, duplicateEnd } = this.#faults;
    const isToken = event.kind === EngineEventKind.Token;
    if (isToken && breakAtToken !== undefined && event.index >= breakAtToken) {
      this.#writer.closeSocket(delayMs);
      return false;
    }
    const line = JSON.stringify({ ...event, ...crossedAttempt });
    this.#writer.write(line, delayMs);
    if (event.kind === EngineEventKind.End && duplicateEnd) {
      this.#writer.write(line, delayMs);
    }
    if (isToken || event.kind === EngineEventKind.Start) {
      return true;
    }
    this.#writer.end(delayMs);
    return false;
  }

  /** Closes the connection at once. */
  destroy(): void {
    this.#response.destroy();
  }
}
