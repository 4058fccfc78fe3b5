/**
 * Checks that bytes hold one plain CBOR item before a decoder sees them.
 *
 * A CBOR library reads tags (big numbers, shared values, records) whose cost
 * can grow far faster than their size. Frames between instances need none.
 */

const MAX_DEPTH = 16;
const HEAD_BYTES = 1;
const ARGUMENT_MASK = 0x1f;
const MAJOR_TYPE_SHIFT = 5;
const LARGEST_INLINE_ARGUMENT = 23;
const FIRST_SIMPLE_VALUE = 20;
const FIRST_FLOAT = 25;
const LAST_FLOAT = 27;

enum MajorType {
  UnsignedInteger,
  NegativeInteger,
  Bytes,
  Text,
  Array,
  Map,
  Tag,
  Simple,
}

/** Bytes that follow the head for each argument code above the inline ones. */
const ARGUMENT_BYTES: ReadonlyMap<number, number> = new Map([
  [24, 1],
  [25, 2],
  [26, 4],
  [27, 8],
]);

const READ_LENGTH: ReadonlyMap<
  number,
  (view: DataView, at: number) => number
> = new Map([
  [24, (view, at) => view.getUint8(at)],
  [25, (view, at) => view.getUint16(at)],
  [26, (view, at) => view.getUint32(at)],
]);

interface Item {
  readonly argumentCode: number;
  /** The count or length that the head carries; 0 where it has none. */
  readonly length: number;
}

/** How each major type moves the walk on; false refuses the item. */
const STEP: Readonly<
  Record<MajorType, (walk: PlainCborWalk, item: Item) => boolean>
> = {
  [MajorType.UnsignedInteger]: () => true,
  [MajorType.NegativeInteger]: () => true,
  [MajorType.Bytes]: () => false,
  [MajorType.Text]: (walk, item) => walk.skip(item.length),
  [MajorType.Array]: (walk, item) => walk.enter(item.length),
  [MajorType.Map]: (walk, item) => walk.enter(2 * item.length),
  [MajorType.Tag]: () => false,
  [MajorType.Simple]: (_walk, { argumentCode }) =>
    argumentCode >= FIRST_FLOAT && argumentCode <= LAST_FLOAT ||
    argumentCode >= FIRST_SIMPLE_VALUE &&
      argumentCode <= LARGEST_INLINE_ARGUMENT,
};

/** One walk over the items of a buffer. */
class PlainCborWalk {
  readonly #view: DataView;
  /** Items still to come at each open depth. */
  readonly #pending = [1];
  #position = 0;

  constructor(bytes: Uint8Array) {
    this.#view = new DataView(bytes.buffer, bytes.byteOffset, bytes.byteLength);
  }

  run(): boolean {
    while (this.#pending.length > 0) {
      if (this.#pending[this.#pending.length - 1] === 0) {
        this.#pending.pop();
        continue;
      }
      this.#pending[this.#pending.length - 1] -= 1;
      if (!this.#step()) return false;
    }
    return this.#position === this.#view.byteLength;
  }

  skip(bytes: number): boolean {
    this.#position += bytes;
    return this.#position <= this.#view.byteLength;
  }

  enter(items: number): boolean {
    this.#pending.push(items);
    return this.#pending.length <= MAX_DEPTH &&
      items <= this.#view.byteLength - this.#position;
  }

  #step(): boolean {
    const headAt = this.#position;
    if (!this.skip(HEAD_BYTES)) return false;
    const head = this.#view.getUint8(headAt);
    const majorType: MajorType = head >> MAJOR_TYPE_SHIFT;
    const argumentCode = head & ARGUMENT_MASK;
    if (!this.#skipArgument(argumentCode)) return false;
    const length = this.#lengthOf(argumentCode, headAt + HEAD_BYTES);
    return STEP[majorType](this, { argumentCode, length });
  }

  #skipArgument(argumentCode: number): boolean {
    if (argumentCode <= LARGEST_INLINE_ARGUMENT) return true;
    const bytes = ARGUMENT_BYTES.get(argumentCode);
    return bytes !== undefined && this.skip(bytes);
  }

  #lengthOf(argumentCode: number, at: number): number {
    if (argumentCode <= LARGEST_INLINE_ARGUMENT) return argumentCode;
    // A length of eight bytes is beyond any frame, so it fails the walk.
    return READ_LENGTH.get(argumentCode)?.(this.#view, at) ?? Infinity;
  }
}

/**
 * Checks the shape of a CBOR buffer in one pass, without building values.
 *
 * @param bytes The buffer.
 * @returns True when it is exactly one item made of numbers, text, booleans,
 * null, undefined, arrays and maps of definite length, at a modest depth.
 */
export function isPlainCbor(bytes: Uint8Array): boolean {
  return new PlainCborWalk(bytes).run();
}
