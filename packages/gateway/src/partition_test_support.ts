/** Time and partitions of a fleet in a test, on a manual clock. */

/** Runs what is due, and tells which instances a partition separates. */
export class PartitionedNetwork {
  readonly clock = { atMs: 0, nowMs: () => this.clock.atMs };
  /** The failure domain that is cut off from all others, if any. */
  cutDomain?: string;
  readonly #domainOf: Readonly<Record<string, string>>;
  #onTheWay: { atMs: number; run: () => void }[] = [];

  /** @param domainOf Failure domains by instance; needed for partitions only. */
  constructor(domainOf: Readonly<Record<string, string>> = {}) {
    this.#domainOf = domainOf;
  }

  /**
   * @param fromId An instance.
   * @param toId Another instance.
   * @returns Whether a partition separates them.
   */
  isCut(fromId: string, toId: string): boolean {
    return this.cutDomain !== undefined &&
      (this.#domainOf[fromId] === this.cutDomain) !==
        (this.#domainOf[toId] === this.cutDomain);
  }

  /**
   * @param ms When, from now.
   * @param run What is to run then.
   */
  later(ms: number, run: () => void): void {
    this.#onTheWay.push({ atMs: this.clock.atMs + ms, run });
  }

  /** Runs what is due by now, but not what that adds. */
  runDue(): void {
    const due = this.#onTheWay.filter(({ atMs }) => atMs <= this.clock.atMs);
    this.#onTheWay = this.#onTheWay.filter((one) => !due.includes(one));
    due.forEach(({ run }) => run());
  }
}
