/** The HTTP response that follows one engine stream, and its faults. */

import type { ServerResponse } from "node:http";
import {
  type EngineEvent,
  EngineEventKind,
} from "@chestnuthatch/wire/target_protocol";
import { DelayedWriter } from "./delayed_writer.ts";
import type { AttemptRef } from "./engine_stream.ts";
import type { NowMs } from "./http_host.ts";

/** What goes wrong with one response. */
export interface StreamFaults {
  /** Cut the connection in place of the token with this position. */
  readonly breakAtToken?: number;
  /** Ids of another request, to be sent in place of its own. */
  readonly crossedWith?: AttemptRef;
  readonly duplicateEnd: boolean;
}

/** No fault at all. */
export const NO_STREAM_FAULTS: StreamFaults = { duplicateEnd: false };

const HTTP_OK = 200;

/** Writes engine events as NDJSON lines. */
export class StreamSink {
  readonly #response: ServerResponse;
  readonly #writer: DelayedWriter;
  readonly #faults: StreamFaults;

  /**
   * Sends the response's head.
   *
   * @param response The response.
   * @param nowMs The clock.
   * @param faults What goes wrong.
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
   * @param delayMs How long to hold it back.
   * @returns Whether the response goes on after it.
   */
  send(event: EngineEvent, delayMs: number): boolean {
    const { breakAtToken, crossedWith, duplicateEnd } = this.#faults;
    const isToken = event.kind === EngineEventKind.Token;
    if (isToken && breakAtToken !== undefined && event.index >= breakAtToken) {
      this.#writer.cut(delayMs);
      return false;
    }
    const line = JSON.stringify({ ...event, ...crossedWith });
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

  /** Cuts the connection now. */
  destroy(): void {
    this.#response.destroy();
  }
}
