/** Cuts a stream of bytes into whole events. */

import { Buffer } from "node:buffer";

/** One whole event, with the empty line that ends it. */
export interface StreamedEvent {
  readonly bytes: Buffer;
  /** Its number; absent where it has none. */
  readonly id?: number;
}

const ID_LINE = /^id:[ ]?(\d+)[ ]*$/m;
const LINE_FEED = 0x0a;
const CARRIAGE_RETURN = 0x0d;

/** Collects bytes until events are whole. */
export class EventSplitter {
  #rest: Buffer = Buffer.alloc(0);

  /** Bytes of an event that is not whole yet. */
  get rest(): Buffer {
    return this.#rest;
  }

  /**
   * @param chunk Bytes as they arrived.
   * @returns Events that are whole now.
   */
  push(chunk: Buffer): StreamedEvent[] {
    const bytes = this.#rest.length === 0
      ? chunk
      : Buffer.concat([this.#rest, chunk]);
    const events: StreamedEvent[] = [];
    let begin = 0;
    for (;;) {
      const end = endOfEvent(bytes, begin);
      if (end === undefined) {
        break;
      }
      events.push(eventOf(bytes.subarray(begin, end)));
      begin = end;
    }
    this.#rest = bytes.subarray(begin);
    return events;
  }
}

/** Finds the end of the first empty line after a position. */
function endOfEvent(bytes: Buffer, begin: number): number | undefined {
  let at = bytes.indexOf(LINE_FEED, begin);
  while (at !== -1) {
    let next = at + 1;
    if (bytes[next] === CARRIAGE_RETURN) {
      next++;
    }
    if (bytes[next] === LINE_FEED) {
      return next + 1;
    }
    at = bytes.indexOf(LINE_FEED, at + 1);
  }
  return undefined;
}

function eventOf(bytes: Buffer): StreamedEvent {
  const id = ID_LINE.exec(bytes.toString("latin1"))?.[1];
  return id === undefined ? { bytes } : { bytes, id: Number(id) };
}
