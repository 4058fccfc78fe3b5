/** The calls that wait for their outcome, and how each is answered. */

import type { ServerResponse } from "node:http";
import { ERROR_TABLE } from "@chestnuthatch/core/error_table";
import type { Answer, Refusal } from "@chestnuthatch/core/request";
import { CallerEventKind } from "@chestnuthatch/wire/caller_protocol";
import {
  eventLine,
  jsonReply,
  NDJSON_TYPE,
  refusalHeaders,
  refusalReply,
  sendReply,
} from "./caller_reply.ts";

const OK_STATUS = 200;

/** How far a call has come. */
export enum CallStage {
  /** Its body is being read and checked. */
  Receiving = "receiving",
  /** The core has been told of it. */
  Accepted = "accepted",
  /** It has its final answer, which may still be under way. */
  Ended = "ended",
}

/** One call and its HTTP response. */
export class OpenCall {
  readonly requestId: string;
  readonly response: ServerResponse;
  stage = CallStage.Receiving;
  /** Whether the caller asked for a stream. */
  streams = false;
  /** Bytes taken from the budget of bodies. */
  bodyBytes = 0;
  #streamedCharacters = 0;

  /**
   * @param requestId The id given to the call.
   * @param response Where it is answered.
   */
  constructor(requestId: string, response: ServerResponse) {
    this.requestId = requestId;
    this.response = response;
  }

  /** @param answer The whole answer. */
  answer(answer: Answer): void {
    this.stage = CallStage.Ended;
    if (!this.streams) {
      sendReply(this.response, jsonReply(OK_STATUS, answer));
      return;
    }
    const { text, ...figures } = answer;
    // A kept answer, or one joined late, has text that was never streamed.
    this.#writeText(text.slice(this.#streamedCharacters));
    this.#startStream(OK_STATUS);
    this.response.end(
      eventLine({ kind: CallerEventKind.Final, answer: figures }),
    );
  }

  /** @param refusal The refusal. */
  refuse(refusal: Refusal): void {
    this.stage = CallStage.Ended;
    if (!this.streams) {
      sendReply(this.response, refusalReply(refusal));
      return;
    }
    this.#startStream(ERROR_TABLE[refusal.error].httpStatus, refusal);
    this.response.end(eventLine({
      kind: CallerEventKind.Error,
      refusal: { ...refusal, callLog: [...refusal.callLog] },
    }));
  }

  /** @param text The next piece; dropped unless the caller wants a stream. */
  streamText(text: string): void {
    if (this.streams) {
      this.#writeText(text);
    }
  }

  #writeText(text: string): void {
    if (text === "") {
      return;
    }
    this.#startStream(OK_STATUS);
    this.#streamedCharacters += text.length;
    this.response.write(eventLine({ kind: CallerEventKind.Text, text }));
  }

  #startStream(status: number, refusal?: Refusal): void {
    if (this.response.headersSent) {
      return;
    }
    this.response.writeHead(status, {
      "content-type": NDJSON_TYPE,
      ...(refusal === undefined ? {} : refusalHeaders(refusal)),
    });
  }
}

/** Open calls by request id. */
export class OpenCalls {
  readonly #byId = new Map<string, OpenCall>();

  /** How many calls are open, those still being received included. */
  get size(): number {
    return this.#byId.size;
  }

  /** @param call A call just received. */
  add(call: OpenCall): void {
    this.#byId.set(call.requestId, call);
  }

  /** @param requestId The call whose response is over. */
  remove(requestId: string): void {
    this.#byId.delete(requestId);
  }

  /**
   * @param requestId The request.
   * @returns Its call, if it still waits for its outcome.
   */
  waiting(requestId: string): OpenCall | undefined {
    const call = this.#byId.get(requestId);
    return call?.stage === CallStage.Accepted ? call : undefined;
  }
}
