/** Splits a stream of bytes into server-sent events. */

import { Buffer } from "node:buffer";

/** One complete event, including the empty line that ends it. */
export interface StreamedEvent {
  readonly bytes: Buffer;
  /** Numeric id of the event; absent if it has none. */
  readonly id?: number;
}

const ID_LINE = /^id:[ ]?(\d+)[ ]*$/m;
const LINE_FEED = 0x0a;
const CARRIAGE_RETURN = 0x0d;

/** Buffers bytes until events are complete. */
export class EventSplitter {
  #remainder: Buffer = Buffer.alloc(0);

  /** Bytes after the last complete event. */
  get remainder(): Buffer {
    return this.#remainder;
  }

  /**
   * Whether an event has begun that is not complete yet. Empty lines between
   * events belong to none.
   */
  get isInsideEvent(): boolean {
    return this.#remainder.some((byte) =>
      byte !== LINE_FEED && byte !== CARRIAGE_RETURN
    );
  }

  /**
   * Adds bytes to the buffer and takes complete events from it.
   *
   * @param chunk The next bytes of the stream.
   * @returns Events that are complete now.
   */
  push(chunk: Buffer): StreamedEvent[] {
    const bytes = this.#remainder.length === 0
      ? chunk
      : Buffer.concat([this.#remainder, chunk]);
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
    this.#remainder = bytes.subarray(begin);
    return events;
  }
}

/** Returns the offset after the first empty line that follows a position. */
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
