/** One request on a caller's connection whose answer is not written out yet. */

import type { ServerResponse } from "node:http";

/** Progress of an answer that is not written out. */
export enum AnswerState {
  /** The request is not completely received. */
  Reading = "reading",
  /** No byte of an answer was passed to the response stream. */
  Pending = "pending",
  /** A part of the answer was passed to the response stream. */
  Begun = "begun",
  /** The whole answer was passed to the response stream; bytes are buffered. */
  HandedOver = "handed_over",
}

/** Facts of the request that an unfinished answer belongs to. */
export interface UnfinishedAnswerFacts {
  readonly requestId: string;
  /** Local time at which the request's headers were read, in milliseconds. */
  readonly arrivedAtMs: number;
  /** Whether the connection closes after the answer, however it is framed. */
  readonly closesConnection: boolean;
}

/** The answer to one request, until its last byte is written to the socket. */
export class UnfinishedAnswer {
  readonly facts: UnfinishedAnswerFacts;
  readonly response: ServerResponse;
  /** Whether only the end of the connection delimits the answer. */
  isUnframed = false;
  /** Whether its head says that the connection closes after it. */
  isLast = false;
  /** Returns the number of targets that may have run the request. */
  countRuns: () => number = () => 0;
  /** Called when the connection ends before the answer is written out. */
  onConnectionEnded: () => void = () => {};

  /**
   * @param response Response stream that the answer is written to.
   * @param facts Facts of the request.
   */
  constructor(response: ServerResponse, facts: UnfinishedAnswerFacts) {
    this.response = response;
    this.facts = facts;
  }

  /** Whether the connection closes after the answer. */
  get closesConnection(): boolean {
    return this.isLast || this.facts.closesConnection;
  }

  /** Progress of the answer, read from the response stream. */
  get state(): AnswerState {
    const { headersSent, writableEnded, req } = this.response;
    if (writableEnded) {
      return AnswerState.HandedOver;
    }
    if (headersSent) {
      return AnswerState.Begun;
    }
    return req.complete ? AnswerState.Pending : AnswerState.Reading;
  }
}
