/** Links between failure domains, and which of them are cut. */

/** Delays of the links, one way, in milliseconds. */
export interface LinkDelays {
  readonly withinDomainMs: number;
  readonly betweenDomainsMs: number;
  readonly toCallersMs: number;
}

/** How long a connection attempt over a cut link takes to fail. */
export const CONNECT_TIMEOUT_MS = 1000;

/** Knows the delay and the state of every link. */
export class Network {
  readonly delays: LinkDelays;
  readonly #cutOff = new Set<string>();
  readonly #cutFromPlatform = new Set<string>();

  /** @param delays Delays of the links. */
  constructor(delays: LinkDelays) {
    this.delays = delays;
  }

  /**
   * Cuts a domain off from the other domains and from the platform.
   *
   * @param failureDomain The domain.
   */
  cutOff(failureDomain: string): void {
    this.#cutOff.add(failureDomain);
    this.#cutFromPlatform.add(failureDomain);
  }

  /** @param failureDomain The domain whose links work again. */
  heal(failureDomain: string): void {
    this.#cutOff.delete(failureDomain);
    this.#cutFromPlatform.delete(failureDomain);
  }

  /**
   * Tells whether two domains reach each other.
   *
   * @param a One domain.
   * @param b The other, or the same.
   * @returns True when messages get through.
   */
  reaches(a: string, b: string): boolean {
    return a === b || !(this.#cutOff.has(a) || this.#cutOff.has(b));
  }

  /**
   * Tells whether a domain reaches the platform.
   *
   * @param failureDomain The domain.
   * @returns True when calls get through.
   */
  reachesPlatform(failureDomain: string): boolean {
    return !this.#cutFromPlatform.has(failureDomain);
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
      ? this.delays.withinDomainMs
      : this.delays.betweenDomainsMs;
  }
}
