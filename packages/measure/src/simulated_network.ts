/** Simulated network between failure domains, the platform and callers. */

/** One-way delays of the links in milliseconds. */
export interface LinkDelays {
  readonly withinDomainDelayMs: number;
  readonly betweenDomainsDelayMs: number;
  readonly callerDelayMs: number;
}

/** Time until a connection attempt over a cut link fails. */
export const CONNECT_TIMEOUT_MS = 1000;

/** Delays of the links, and which failure domains are isolated. */
export class SimulatedNetwork {
  readonly delays: LinkDelays;
  readonly #isolatedDomains = new Set<string>();
  readonly #domainsWithoutPlatform = new Set<string>();

  /** @param delays One-way delays of the links. */
  constructor(delays: LinkDelays) {
    this.delays = delays;
  }

  /**
   * Cuts the links from a failure domain to all others and to the platform.
   * Its links to callers keep working.
   *
   * @param failureDomain The failure domain to isolate.
   */
  isolateDomain(failureDomain: string): void {
    this.#isolatedDomains.add(failureDomain);
    this.#domainsWithoutPlatform.add(failureDomain);
  }

  /**
   * Restores the links of an isolated failure domain.
   *
   * @param failureDomain The failure domain to reconnect.
   */
  reconnectDomain(failureDomain: string): void {
    this.#isolatedDomains.delete(failureDomain);
    this.#domainsWithoutPlatform.delete(failureDomain);
  }

  /**
   * Checks whether two failure domains are connected.
   *
   * @param a The first failure domain.
   * @param b The second failure domain; may be the first.
   * @returns True when messages between them arrive.
   */
  isConnected(a: string, b: string): boolean {
    return a === b ||
      !(this.#isolatedDomains.has(a) || this.#isolatedDomains.has(b));
  }

  /**
   * Checks whether a failure domain is connected to the platform.
   *
   * @param failureDomain The failure domain.
   * @returns True when calls to the platform arrive.
   */
  isConnectedToPlatform(failureDomain: string): boolean {
    return !this.#domainsWithoutPlatform.has(failureDomain);
  }

  /**
   * Returns the delay of a message between two failure domains.
   *
   * @param from The sender's failure domain.
   * @param to The receiver's failure domain.
   * @returns The one-way delay in milliseconds.
   */
  delayMs(from: string, to: string): number {
    return from === to
      ? this.delays.withinDomainDelayMs
      : this.delays.betweenDomainsDelayMs;
  }
}
