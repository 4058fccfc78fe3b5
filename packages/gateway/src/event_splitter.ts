/** Splits a stream of bytes into server-sent events. */

import { Buffer } from "node:buffer";
import { BodyCollector } from "./body_collector.ts";

/** One complete event, including the empty line that ends it. */
export interface StreamedEvent {
  readonly bytes: Buffer;
  /** Numeric id of the event; absent if it has none. */
  readonly id?: number;
  /** False if there are only comments and retry times, which callers skip. */
  readonly hasContent: boolean;
}

/** Handling of a byte order mark before the first event. */
export interface EventSplitterOptions {
  /**
   * Whether it is removed. Where a stream goes on, the mark would not stand
   * first, and callers would not recognize the line after it. False by default.
   */
  readonly removesMark?: boolean;
}

/** Part of an empty line that the last bytes may be. */
enum LineEnd {
  /** No line has just ended. */
  None = "none",
  /** A line has ended; a line feed would end the event. */
  LineFeed = "line_feed",
  /** The same, followed by a carriage return. */
  CarriageReturn = "carriage_return",
}

/** Lines with an id, the last of which counts. */
const ID_LINES = /^id(?:$|:[ ]?(.*)$)/gm;
const NUMBER = /^\d+[ ]*$/;
const CONTENT_LINE = /^(?:data|event|id)(?::|$)/m;
/** Byte order mark that may precede a stream and is no part of its lines. */
const BYTE_ORDER_MARK = Buffer.from([0xef, 0xbb, 0xbf]);

const LINE_FEED = 0x0a;
const CARRIAGE_RETURN = 0x0d;

/**
 * Buffers bytes until events are complete. Each byte is searched once, however
 * the stream is chunked.
 */
export class EventSplitter {
  /** Bytes after the last complete event. */
  readonly #pending = new BodyCollector();
  #lineEnd = LineEnd.None;
  #isAtStart = true;
  readonly #removesMark: boolean;

  /** @param options Handling of a byte order mark. */
  constructor({ removesMark = false }: EventSplitterOptions = {}) {
    this.#removesMark = removesMark;
  }

  /** Bytes after the last complete event. */
  get remainder(): Buffer {
    return this.#pending.bytes;
  }

  /** Number of bytes after the last complete event. */
  get pendingBytes(): number {
    return this.#pending.byteLength;
  }

  /** Number of pieces in which these bytes arrived. */
  get pendingPieceCount(): number {
    return this.#pending.pieceCount;
  }

  /**
   * Whether an event has begun that is not complete yet. Empty lines between
   * events belong to none.
   */
  get isInsideEvent(): boolean {
    return this.remainder.some((byte) =>
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
    const events: StreamedEvent[] = [];
    let begin = 0;
    let end = this.#endOfEvent(chunk, begin);
    while (end !== undefined) {
      const bytes = this.#completedBy(chunk.subarray(begin, end));
      events.push(this.#eventOf(bytes));
      begin = end;
      end = this.#endOfEvent(chunk, begin);
    }
    this.#buffer(chunk.subarray(begin));
    return events;
  }

  /** Returns the offset after the first empty line that follows a position. */
  #endOfEvent(chunk: Buffer, begin: number): number | undefined {
    let at = begin;
    while (at < chunk.length) {
      if (this.#lineEnd === LineEnd.None) {
        const lineEnd = chunk.indexOf(LINE_FEED, at);
        if (lineEnd === -1) {
          return undefined;
        }
        this.#lineEnd = LineEnd.LineFeed;
        at = lineEnd + 1;
        continue;
      }
      const byte = chunk[at];
      at++;
      if (byte === LINE_FEED) {
        this.#lineEnd = LineEnd.None;
        return at;
      }
      const isCarriageReturn = byte === CARRIAGE_RETURN &&
        this.#lineEnd === LineEnd.LineFeed;
      this.#lineEnd = isCarriageReturn ? LineEnd.CarriageReturn : LineEnd.None;
    }
    return undefined;
  }

  #eventOf(bytes: Buffer): StreamedEvent {
    const isMarked = this.#isAtStart && startsWithMark(bytes);
    this.#isAtStart = false;
    if (!isMarked) {
      return eventOf(bytes);
    }
    const event = eventOf(bytes.subarray(BYTE_ORDER_MARK.length));
    return this.#removesMark ? event : { ...event, bytes };
  }

  #completedBy(piece: Buffer): Buffer {
    if (this.#pending.byteLength === 0) {
      return piece;
    }
    this.#pending.push(piece);
    const { bytes } = this.#pending;
    this.#pending.clear();
    return bytes;
  }

  #buffer(piece: Buffer): void {
    if (piece.length > 0) {
      this.#pending.push(piece);
    }
  }
}

function startsWithMark(bytes: Buffer): boolean {
  return bytes.subarray(0, BYTE_ORDER_MARK.length).equals(BYTE_ORDER_MARK);
}

function eventOf(bytes: Buffer): StreamedEvent {
  const text = bytes.toString("latin1");
  const hasContent = CONTENT_LINE.test(text);
  const idText = text.includes("id")
    ? [...text.matchAll(ID_LINES)].at(-1)?.[1] ?? ""
    : "";
  return NUMBER.test(idText)
    ? { bytes, hasContent, id: Number(idText) }
    : { bytes, hasContent };
}
