/**
 * Checks that a buffer holds one plain CBOR item, before it is decoded.
 *
 * CBOR libraries decode tags (big numbers, shared values, records) at a cost
 * that can grow far faster than their size. Frames between instances use none.
 * Terms are those of RFC 8949: the head of an item is its initial byte (major
 * type and additional information) and its argument.
 */

const MAX_NESTING_DEPTH = 16;
const INITIAL_BYTES = 1;
const ADDITIONAL_INFO_MASK = 0x1f;
const MAJOR_TYPE_SHIFT = 5;
const MAX_INLINE_ARGUMENT = 23;
const MIN_SIMPLE_VALUE = 20;
const MIN_FLOAT_INFO = 25;
const MAX_FLOAT_INFO = 27;

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

/**
 * Bytes of the argument for each additional information above the inline
 * arguments.
 */
const ARGUMENT_BYTES_BY_INFO: ReadonlyMap<number, number> = new Map([
  [24, 1],
  [25, 2],
  [26, 4],
  [27, 8],
]);

const READ_LENGTH_BY_INFO: ReadonlyMap<
  number,
  (view: DataView, offset: number) => number
> = new Map([
  [24, (view, offset) => view.getUint8(offset)],
  [25, (view, offset) => view.getUint16(offset)],
  [26, (view, offset) => view.getUint32(offset)],
]);

/** The decoded head of a CBOR item. */
interface ItemHead {
  readonly additionalInfo: number;
  /** Argument as a count or length; Infinity where it takes eight bytes. */
  readonly length: number;
}

/** Skips or enters the content of each major type; false rejects the item. */
const SKIP_CONTENT_BY_TYPE: Readonly<
  Record<MajorType, (checker: PlainCborChecker, head: ItemHead) => boolean>
> = {
  [MajorType.UnsignedInteger]: () => true,
  [MajorType.NegativeInteger]: () => true,
  [MajorType.Bytes]: () => false,
  [MajorType.Text]: (checker, head) => checker.skip(head.length),
  [MajorType.Array]: (checker, head) => checker.enterContainer(head.length),
  [MajorType.Map]: (checker, head) => checker.enterContainer(2 * head.length),
  [MajorType.Tag]: () => false,
  [MajorType.Simple]: (_checker, { additionalInfo }) =>
    additionalInfo >= MIN_FLOAT_INFO && additionalInfo <= MAX_FLOAT_INFO ||
    additionalInfo >= MIN_SIMPLE_VALUE &&
      additionalInfo <= MAX_INLINE_ARGUMENT,
};

/** Checks the items of one buffer, from its start to its end. */
class PlainCborChecker {
  readonly #view: DataView;
  /** Items not read yet in each open container, outermost first. */
  readonly #remainingItems = [1];
  #position = 0;

  constructor(bytes: Uint8Array) {
    this.#view = new DataView(bytes.buffer, bytes.byteOffset, bytes.byteLength);
  }

  check(): boolean {
    while (this.#remainingItems.length > 0) {
      if (this.#remainingItems[this.#remainingItems.length - 1] === 0) {
        this.#remainingItems.pop();
        continue;
      }
      this.#remainingItems[this.#remainingItems.length - 1] -= 1;
      if (!this.#readItem()) return false;
    }
    return this.#position === this.#view.byteLength;
  }

  skip(bytes: number): boolean {
    this.#position += bytes;
    return this.#position <= this.#view.byteLength;
  }

  enterContainer(items: number): boolean {
    this.#remainingItems.push(items);
    return this.#remainingItems.length <= MAX_NESTING_DEPTH &&
      items <= this.#view.byteLength - this.#position;
  }

  #readItem(): boolean {
    const headStart = this.#position;
    if (!this.skip(INITIAL_BYTES)) return false;
    const initialByte = this.#view.getUint8(headStart);
    const majorType: MajorType = initialByte >> MAJOR_TYPE_SHIFT;
    const additionalInfo = initialByte & ADDITIONAL_INFO_MASK;
    if (!this.#skipArgument(additionalInfo)) return false;
    const length = this.#readArgument(
      additionalInfo,
      headStart + INITIAL_BYTES,
    );
    return SKIP_CONTENT_BY_TYPE[majorType](this, {
      additionalInfo,
      length,
    });
  }

  #skipArgument(additionalInfo: number): boolean {
    if (additionalInfo <= MAX_INLINE_ARGUMENT) return true;
    const bytes = ARGUMENT_BYTES_BY_INFO.get(additionalInfo);
    return bytes !== undefined && this.skip(bytes);
  }

  #readArgument(additionalInfo: number, offset: number): number {
    if (additionalInfo <= MAX_INLINE_ARGUMENT) return additionalInfo;
    // An eight-byte length exceeds every frame, so that the check fails.
    return READ_LENGTH_BY_INFO.get(additionalInfo)?.(this.#view, offset) ??
      Infinity;
  }
}

/**
 * Checks the structure of a CBOR buffer in one pass, without building values.
 *
 * @param bytes The buffer.
 * @returns Whether the buffer is exactly one item made of numbers, text,
 * booleans, null, undefined, and arrays and maps of definite length, nested at
 * most {@link MAX_NESTING_DEPTH} deep.
 */
export function isPlainCbor(bytes: Uint8Array): boolean {
  return new PlainCborChecker(bytes).check();
}
