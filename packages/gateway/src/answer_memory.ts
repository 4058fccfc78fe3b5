/**
 * Memory for answers that are buffered until they are complete, and for events
 * of streams. A target may send bytes without end, and several targets may do so
 * at once.
 */

/** Largest answer, or event of a stream, that is buffered. */
const MAX_ANSWER_BYTES = 1024 * 1024;

/** Bytes of all answers and events that are buffered at the same time. */
const MAX_TOTAL_BYTES = 32 * 1024 * 1024;

/** Limits the memory that all answers of an instance take. */
export class AnswerMemory {
  readonly #reservations = new Set<MemoryReservation>();
  #bytes = 0;

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
    if (changed.bytes > MAX_ANSWER_BYTES) {
      changed.drop();
    } else if (this.#bytes > MAX_TOTAL_BYTES) {
      this.#largest().drop();
    }
  }

  #largest(): MemoryReservation {
    return [...this.#reservations]
      .reduce((a, b) => b.bytes > a.bytes ? b : a);
  }
}

/** Memory that one answer takes. */
export class MemoryReservation {
  readonly #onChanged: (changeBytes: number) => void;
  readonly #onTooLarge: () => void;
  #bytes = 0;
  #isReleased = false;

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
