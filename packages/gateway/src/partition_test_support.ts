/** Simulated network of a fleet in tests: a manual clock and partitions. */

/** Failure domains of a fleet of eight instances, by instance id. */
export const DOMAIN_OF: Readonly<Record<string, string>> = {
  i1: "a",
  i2: "b",
  i3: "c",
  i4: "a",
  i5: "b",
  i6: "c",
  i7: "a",
  i8: "b",
};

/**
 * Runs scheduled functions by a manual clock, and determines which instances a
 * network partition separates.
 */
export class PartitionedNetwork {
  readonly clock = { atMs: 0, nowMs: () => this.clock.atMs };
  /** Failure domain that is partitioned from all others, if any. */
  isolatedDomain?: string;
  readonly #domainOf: Readonly<Record<string, string>>;
  #scheduled: { atMs: number; run: () => void }[] = [];

  /**
   * @param domainOf Failure domain by instance id; needed for partitions only.
   */
  constructor(domainOf: Readonly<Record<string, string>> = {}) {
    this.#domainOf = domainOf;
  }

  /**
   * @param fromId Id of an instance.
   * @param toId Id of another instance.
   * @returns Whether the partition separates the two instances.
   */
  isPartitioned(fromId: string, toId: string): boolean {
    return this.isolatedDomain !== undefined &&
      (this.#domainOf[fromId] === this.isolatedDomain) !==
        (this.#domainOf[toId] === this.isolatedDomain);
  }

  /**
   * Schedules a function.
   *
   * @param delayMs Delay from now, by the manual clock.
   * @param run The function.
   */
  schedule(delayMs: number, run: () => void): void {
    this.#scheduled.push({ atMs: this.clock.atMs + delayMs, run });
  }

  /** Runs the functions that are due, but none that these schedule. */
  runDue(): void {
    const due = this.#scheduled.filter(({ atMs }) => atMs <= this.clock.atMs);
    this.#scheduled = this.#scheduled.filter((one) => !due.includes(one));
    due.forEach(({ run }) => run());
  }
}
