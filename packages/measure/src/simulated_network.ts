/** Links between failure domains, and which of them are cut. */

/** Delays of the links, one way, in milliseconds. */
export interface LinkDelays {
  readonly withinDomainDelayMs: number;
  readonly betweenDomainsDelayMs: number;
  readonly callerDelayMs: number;
}

/** How long a connection attempt over a cut link takes to fail. */
export const CONNECT_TIMEOUT_MS = 1000;

/** Knows the delay and the state of every link. */
export class SimulatedNetwork {
  readonly delays: LinkDelays;
  readonly #isolatedDomains = new Set<string>();
  readonly #domainsWithoutPlatform = new Set<string>();

  /** @param delays Delays of the links. */
  constructor(delays: LinkDelays) {
    this.delays = delays;
  }

  /**
   * Cuts a domain off from the other domains and from the platform.
   *
   * @param failureDomain The domain.
   */
  isolateDomain(failureDomain: string): void {
    this.#isolatedDomains.add(failureDomain);
    this.#domainsWithoutPlatform.add(failureDomain);
  }

  /** @param failureDomain The domain whose links work again. */
  reconnectDomain(failureDomain: string): void {
    this.#isolatedDomains.delete(failureDomain);
    this.#domainsWithoutPlatform.delete(failureDomain);
  }

  /**
   * Tells whether two domains reach each other.
   *
   * @param a One domain.
   * @param b The other, or the same.
   * @returns True when messages get through.
   */
  isConnected(a: string, b: string): boolean {
    return a === b ||
      !(this.#isolatedDomains.has(a) || this.#isolatedDomains.has(b));
  }

  /**
   * Tells whether a domain reaches the platform.
   *
   * @param failureDomain The domain.
   * @returns True when calls get through.
   */
  isConnectedToPlatform(failureDomain: string): boolean {
    return !this.#domainsWithoutPlatform.has(failureDomain);
  }

  /**
   * Tells how long a message takes.
   *
   * @param from The sender's domain.
   * @param to The receiver's domain.
   * @returns The one-way delay in milliseconds.
   */
  delayMs(from: string, to: string): number {
    return from === to
      ? this.delays.withinDomainDelayMs
      : this.delays.betweenDomainsDelayMs;
  }
}
