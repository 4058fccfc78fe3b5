/** One request read on a caller's connection, until its answer is written. */

import type { ServerResponse } from "node:http";

/** How far an answer has come that is not written out. */
export enum AnswerState {
  /** The request is not read to its end. */
  Reading = "reading",
  /** Nothing of an answer was handed to the connection. */
  Pending = "pending",
  /** A part of an answer was handed to the connection. */
  Begun = "begun",
  /** The whole answer was handed to the connection; bytes of it wait there. */
  HandedOver = "handed_over",
}

/** What is known of the request. */
export interface OwedFacts {
  readonly requestId: string;
  readonly arrivedAtMs: number;
  /** Whether the connection closes after the answer. */
  readonly closesAfter: boolean;
}

/** An answer that a connection still owes its caller. */
export class OwedAnswer {
  readonly facts: OwedFacts;
  readonly response: ServerResponse;
  /** Counts the targets that may have run the request. */
  countRuns: () => number = () => 0;
  /** Called when the connection ends before the answer is written out. */
  onUnanswered: () => void = () => {};

  /**
   * @param response Where the answer goes.
   * @param facts What is known of the request.
   */
  constructor(response: ServerResponse, facts: OwedFacts) {
    this.response = response;
    this.facts = facts;
  }

  /** How far the answer has come. */
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
