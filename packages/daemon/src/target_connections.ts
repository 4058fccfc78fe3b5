/** Bounded HTTP connections to each target. */

import { Pool } from "undici";

/** Bounds of the connections to one target. */
export interface ConnectionLimits {
  /** Streams and calls open at a time. */
  readonly streamConnections: number;
  readonly connectTimeoutMs: number;
  /** How long an unused connection is kept. */
  readonly keepAliveMs: number;
}

/** Connections used unless told otherwise. */
export const DEFAULT_CONNECTION_LIMITS: ConnectionLimits = {
  streamConnections: 256,
  connectTimeoutMs: 1000,
  keepAliveMs: 4000,
};

const CONTROL_CONNECTIONS = 4;
const MAX_TARGETS = 4096;

/** The connections to one target. */
export interface TargetLink {
  readonly address: string;
  /** For dispatches and resumes. */
  readonly streams: Pool;
  /** For polls, cancels and orders, which must not wait behind streams. */
  readonly control: Pool;
}

/** Opens, keeps and closes the links to targets. */
export class TargetConnections {
  readonly #limits: ConnectionLimits;
  readonly #links = new Map<string, TargetLink>();

  /** @param limits Bounds for each target. */
  constructor(limits: ConnectionLimits = DEFAULT_CONNECTION_LIMITS) {
    this.#limits = limits;
  }

  /**
   * Finds or opens the link to a target.
   *
   * @param targetId The target.
   * @param address Its `host:port`; a changed one makes a new link.
   * @returns The link, or nothing when the address is none.
   */
  link(targetId: string, address: string): TargetLink | undefined {
    const known = this.#links.get(targetId);
    if (known?.address === address) {
      return known;
    }
    const link = this.#open(address);
    if (link === undefined) {
      return undefined;
    }
    this.#retire(targetId);
    this.#links.set(targetId, link);
    this.#evictOldest();
    return link;
  }

  /**
   * Finds a link made earlier.
   *
   * @param targetId The target.
   * @returns Its link, if there is one.
   */
  known(targetId: string): TargetLink | undefined {
    return this.#links.get(targetId);
  }

  /**
   * Tells whether one more stream would have to wait for a connection.
   *
   * @param link The link.
   * @returns True when all its connections are taken.
   */
  isFull(link: TargetLink): boolean {
    return link.streams.stats.size >= this.#limits.streamConnections;
  }

  /** Cuts all connections. */
  async stop(): Promise<void> {
    const links = [...this.#links.values()];
    this.#links.clear();
    await Promise.all(
      links.flatMap(({ streams, control }) => [
        streams.destroy(),
        control.destroy(),
      ]),
    );
  }

  #open(address: string): TargetLink | undefined {
    try {
      return {
        address,
        streams: this.#pool(address, this.#limits.streamConnections),
        control: this.#pool(address, CONTROL_CONNECTIONS),
      };
    } catch {
      return undefined;
    }
  }

  #pool(address: string, connections: number): Pool {
    return new Pool(`http://${address}`, {
      connections,
      pipelining: 1,
      connectTimeout: this.#limits.connectTimeoutMs,
      keepAliveTimeout: this.#limits.keepAliveMs,
    });
  }

  #retire(targetId: string): void {
    const link = this.#links.get(targetId);
    this.#links.delete(targetId);
    // Closing lets streams in progress run to their end.
    void link?.streams.close();
    void link?.control.close();
  }

  #evictOldest(): void {
    if (this.#links.size <= MAX_TARGETS) {
      return;
    }
    const [oldest] = this.#links.keys();
    this.#retire(oldest);
  }
}
