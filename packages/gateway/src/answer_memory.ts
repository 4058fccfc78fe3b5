/**
 * Memory for answers that are buffered until they are complete, for events of
 * streams, and for bodies of requests. A target may send bytes without end, and
 * several targets, or callers, may do so at once.
 */

/** Largest answer, or event of a stream, that is buffered. */
const MAX_ANSWER_BYTES = 1024 * 1024;

/** Bytes of all answers and events that are buffered at the same time. */
const MAX_TOTAL_BYTES = 32 * 1024 * 1024;

/**
 * Bytes of the bodies of all requests of an instance, those of callers and those
 * that it relays, on machines of 200 MB.
 */
const MAX_REQUEST_BYTES = 64 * 1024 * 1024;

/** Limits of {@link AnswerMemory}; those for answers by default. */
export interface MemoryLimits {
  /** Largest number of bytes of one reservation. */
  readonly maxBytes?: number;
  /** Largest number of bytes of all reservations. */
  readonly maxTotalBytes?: number;
}

/**
 * Creates the memory for the bodies of requests. Each body has a limit of its
 * own, which the configuration sets.
 *
 * @returns The memory, which holds nothing yet.
 */
export function createRequestMemory(): AnswerMemory {
  return new AnswerMemory({
    maxBytes: Infinity,
    maxTotalBytes: MAX_REQUEST_BYTES,
  });
}

/** Limits the memory that all answers of an instance take. */
export class AnswerMemory {
  readonly #maxBytes: number;
  readonly #maxTotalBytes: number;
  readonly #reservations = new Set<MemoryReservation>();
  #bytes = 0;

  /** @param limits Limits of each reservation and of all. */
  constructor(limits: MemoryLimits = {}) {
    this.#maxBytes = limits.maxBytes ?? MAX_ANSWER_BYTES;
    this.#maxTotalBytes = limits.maxTotalBytes ?? MAX_TOTAL_BYTES;
  }

  /** Number of bytes that are buffered. */
  get bytes(): number {
    return this.#bytes;
  }

  /**
   * Reserves memory for an answer.
   *
   * @param onTooLarge Called when the answer takes too much memory and has to be
   * dropped. The reservation has been released then.
   * @returns The reservation, of no bytes yet. It is released in the end.
   */
  reserve(onTooLarge: () => void): MemoryReservation {
    const reservation: MemoryReservation = new MemoryReservation((change) => {
      this.#bytes += change;
      if (reservation.isReleased) {
        this.#reservations.delete(reservation);
      } else {
        this.#dropTooLarge(reservation);
      }
    }, onTooLarge);
    this.#reservations.add(reservation);
    return reservation;
  }

  #dropTooLarge(changed: MemoryReservation): void {
    if (changed.bytes > this.#maxBytes) {
      changed.drop();
    } else if (this.#bytes > this.#maxTotalBytes) {
      this.#largest().drop();
    }
  }

  #largest(): MemoryReservation {
    return [...this.#reservations]
      .filter(({ isKept }) => !isKept)
      .reduce((a, b) => b.bytes > a.bytes ? b : a);
  }
}

/** Memory that one answer takes. */
export class MemoryReservation {
  readonly #onChanged: (changeBytes: number) => void;
  readonly #onTooLarge: () => void;
  #bytes = 0;
  #isReleased = false;
  #isKept = false;

  /**
   * @param onChanged Called with each change of the number of bytes.
   * @param onTooLarge Called when the answer has to be dropped.
   */
  constructor(
    onChanged: (changeBytes: number) => void,
    onTooLarge: () => void,
  ) {
    this.#onChanged = onChanged;
    this.#onTooLarge = onTooLarge;
  }

  /** Number of bytes that are reserved. */
  get bytes(): number {
    return this.#bytes;
  }

  /** Whether the answer is not buffered any more. */
  get isReleased(): boolean {
    return this.#isReleased;
  }

  /** Whether it is not dropped for want of memory. */
  get isKept(): boolean {
    return this.#isKept;
  }

  /** Excludes what was buffered from being dropped; its size is final. */
  keep(): void {
    this.#isKept = true;
  }

  /**
   * Changes the number of bytes, unless the reservation was released.
   *
   * @param bytes The new number.
   */
  resize(bytes: number): void {
    if (!this.#isReleased) {
      const changeBytes = bytes - this.#bytes;
      this.#bytes = bytes;
      this.#onChanged(changeBytes);
    }
  }

  /** Releases the memory, and tells its owner to drop the answer. */
  drop(): void {
    this.release();
    this.#onTooLarge();
  }

  /** Releases the memory. */
  release(): void {
    if (!this.#isReleased) {
      const changeBytes = -this.#bytes;
      this.#bytes = 0;
      this.#isReleased = true;
      this.#onChanged(changeBytes);
    }
  }
}
