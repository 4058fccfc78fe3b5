/** Open calls of callers, and the writing of their HTTP responses. */

import type { ServerResponse } from "node:http";
import { ERROR_TABLE } from "@chestnuthatch/core/error_table";
import type { Answer, Refusal } from "@chestnuthatch/core/request";
import { CallerEventKind } from "@chestnuthatch/wire/caller_protocol";
import {
  eventLine,
  jsonReply,
  NDJSON_MEDIA_TYPE,
  refusalHeaders,
  refusalReply,
  sendReply,
} from "./caller_reply.ts";

const OK_STATUS = 200;

/** Stage of processing of a call. */
export enum CallStage {
  /** The body is being read and validated. */
  Receiving = "receiving",
  /** The call has been passed to the core. */
  Accepted = "accepted",
  /** The call has its outcome, which may still be being sent. */
  Ended = "ended",
}

/**
 * One HTTP call of a caller for work, with its response. A call may join the
 * request of an earlier call, so a request may have several calls.
 */
export class OpenCall {
  /** Id given to the call, sent in its `x-request-id` header. */
  readonly requestId: string;
  readonly response: ServerResponse;
  stage = CallStage.Receiving;
  /** Whether the caller asked for a stream. */
  wantsStream = false;
  /** Bytes reserved for its body in the byte budget of all bodies. */
  reservedBodyBytes = 0;
  #streamedCharacters = 0;

  /**
   * @param requestId Id given to the call.
   * @param response HTTP response of the call.
   */
  constructor(requestId: string, response: ServerResponse) {
    this.requestId = requestId;
    this.response = response;
  }

  /**
   * Sends a complete answer and ends the response.
   *
   * @param answer Answer to send; of a stream only the unsent text is sent.
   */
  answer(answer: Answer): void {
    this.stage = CallStage.Ended;
    if (!this.wantsStream) {
      sendReply(this.response, jsonReply(OK_STATUS, answer));
      return;
    }
    const { text, ...answerFields } = answer;
    // A stored answer, or one to a call that joined late, has unsent text.
    this.#writeText(text.slice(this.#streamedCharacters));
    this.#writeStreamHead(OK_STATUS);
    this.response.end(
      eventLine({ kind: CallerEventKind.Final, answer: answerFields }),
    );
  }

  /**
   * Sends a refusal and ends the response.
   *
   * @param refusal Refusal to send, as the last event of a stream.
   */
  refuse(refusal: Refusal): void {
    this.stage = CallStage.Ended;
    if (!this.wantsStream) {
      sendReply(this.response, refusalReply(refusal));
      return;
    }
    this.#writeStreamHead(ERROR_TABLE[refusal.error].httpStatus, refusal);
    this.response.end(eventLine({
      kind: CallerEventKind.Error,
      refusal: { ...refusal, callLog: [...refusal.callLog] },
    }));
  }

  /**
   * Sends the next part of the answer if the caller asked for a stream.
   *
   * @param text Text that follows the parts sent before.
   */
  streamText(text: string): void {
    if (this.wantsStream) {
      this.#writeText(text);
    }
  }

  #writeText(text: string): void {
    if (text === "") {
      return;
    }
    this.#writeStreamHead(OK_STATUS);
    this.#streamedCharacters += text.length;
    this.response.write(eventLine({ kind: CallerEventKind.Text, text }));
  }

  #writeStreamHead(status: number, refusal?: Refusal): void {
    if (this.response.headersSent) {
      return;
    }
    this.response.writeHead(status, {
      "content-type": NDJSON_MEDIA_TYPE,
      ...(refusal === undefined ? {} : refusalHeaders(refusal)),
    });
  }
}

/** Registry of open calls by request id. */
export class OpenCalls {
  readonly #byId = new Map<string, OpenCall>();

  /** Number of open calls, including those still being received. */
  get size(): number {
    return this.#byId.size;
  }

  /**
   * Adds a call.
   *
   * @param call Call whose body has not been read yet.
   */
  add(call: OpenCall): void {
    this.#byId.set(call.requestId, call);
  }

  /**
   * Removes a call.
   *
   * @param requestId Id of a call whose response has closed.
   */
  remove(requestId: string): void {
    this.#byId.delete(requestId);
  }

  /**
   * Finds a call that has no outcome yet.
   *
   * @param requestId Id of the call.
   * @returns The call, or `undefined` unless it is {@link CallStage.Accepted}.
   */
  findAccepted(requestId: string): OpenCall | undefined {
    const call = this.#byId.get(requestId);
    return call?.stage === CallStage.Accepted ? call : undefined;
  }
}
