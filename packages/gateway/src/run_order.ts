/**
 * Order of the events of one run of a stream, with respect to those that its
 * caller has.
 */

import type { StreamedEvent } from "./event_splitter.ts";

/** What is done with an event. */
export enum EventUse {
  /** It is sent to the caller. */
  Forward = "forward",
  /** The caller has it. */
  Drop = "drop",
  /** It does not continue what the caller has; the run ends. */
  Reject = "reject",
}

/** What is done with an event, and the reason if it is rejected. */
export type EventVerdict =
  | { readonly use: EventUse.Forward | EventUse.Drop }
  | { readonly use: EventUse.Reject; readonly reason: string };

/** Id before that of the first event of a stream, which is 1. */
const NO_EVENT_ID = 0;

const FORWARD: EventVerdict = { use: EventUse.Forward };
const DROP: EventVerdict = { use: EventUse.Drop };

/** Checks the events of one run in their order. */
export class RunOrder {
  readonly #isResumed: boolean;
  #lastEventId?: number;
  /** Id of the last event of this run; absent before the first id. */
  #lastIdOfRun?: number;
  #endsWithId = true;
  #hasBegun = false;

  /** @param resumeAfter Id of the last event the caller has already, if any. */
  constructor(resumeAfter: number | undefined) {
    this.#isResumed = resumeAfter !== undefined;
    this.#lastEventId = resumeAfter;
  }

  /** Id of the last event that the caller has; absent if it has none. */
  get lastEventId(): number | undefined {
    return this.#lastEventId;
  }

  /** Whether no event without an id was forwarded after the last id. */
  get endsWithId(): boolean {
    return this.#endsWithId;
  }

  /** Whether the run brought an event that the caller did not have. */
  get hasBegun(): boolean {
    return this.#hasBegun;
  }

  /** Whether the caller has events after the last one of this run. */
  get isBehind(): boolean {
    return this.#lastIdOfRun !== undefined &&
      this.#lastIdOfRun < this.#lastEventId!;
  }

  /**
   * Decides what is done with the next event.
   *
   * @param event The event.
   * @returns What is done with it.
   */
  accept({ id, hasContent }: StreamedEvent): EventVerdict {
    if (!hasContent) {
      return FORWARD;
    }
    return id === undefined ? this.#acceptWithoutId() : this.#acceptId(id);
  }

  #acceptWithoutId(): EventVerdict {
    if (this.#isResumed && this.#lastIdOfRun === undefined) {
      return rejected("an event of a resumed stream has no id");
    }
    if (this.isBehind) {
      return DROP;
    }
    this.#hasBegun = true;
    this.#endsWithId = false;
    return FORWARD;
  }

  #acceptId(id: number): EventVerdict {
    const last = this.#lastEventId ?? NO_EVENT_ID;
    const lastOfRun = this.#lastIdOfRun;
    if (id > (lastOfRun ?? last) + 1) {
      return rejected("an event is missing");
    }
    if (id <= (lastOfRun ?? NO_EVENT_ID)) {
      return rejected("an event id went back");
    }
    this.#lastIdOfRun = id;
    if (id <= last) {
      return DROP;
    }
    this.#hasBegun = true;
    this.#lastEventId = id;
    this.#endsWithId = true;
    return FORWARD;
  }
}

function rejected(reason: string): EventVerdict {
  return { use: EventUse.Reject, reason };
}
