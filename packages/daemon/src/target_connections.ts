/** HTTP connection pools of each target. */

import { Pool } from "undici";

/** Limits of the connections to one target. */
export interface ConnectionLimits {
  /** Maximum number of dispatches and resumes open at a time. */
  readonly maxStreamConnections: number;
  /** Time within which a connection must be established. */
  readonly connectTimeoutMs: number;
  /** Time after which an idle connection is closed. */
  readonly keepAliveTimeoutMs: number;
}

/** Default limits of the connections to one target. */
export const DEFAULT_CONNECTION_LIMITS: ConnectionLimits = {
  maxStreamConnections: 256,
  connectTimeoutMs: 1000,
  keepAliveTimeoutMs: 4000,
};

const MAX_CONTROL_CONNECTIONS = 4;
const MAX_TARGETS = 4096;

/** Connection pools of one target. */
export interface TargetPools {
  /** `host:port` of the target. */
  readonly address: string;
  /** For dispatches and resumes. */
  readonly streamPool: Pool;
  /** For polls, cancels and orders, so that streams cannot block them. */
  readonly controlPool: Pool;
}

/** Creates, stores and closes the connection pools of targets. */
export class TargetConnections {
  readonly #limits: ConnectionLimits;
  readonly #poolsByTarget = new Map<string, TargetPools>();

  /** @param limits Limits of the connections to each target. */
  constructor(limits: ConnectionLimits = DEFAULT_CONNECTION_LIMITS) {
    this.#limits = limits;
  }

  /**
   * Finds or creates the pools of a target. Above 4096 targets, the pools that
   * were created first are closed.
   *
   * @param targetId Id of the target.
   * @param address Its `host:port`; a changed address replaces the pools.
   * @returns The pools, or `undefined` if the address is invalid.
   */
  getOrCreate(targetId: string, address: string): TargetPools | undefined {
    const current = this.#poolsByTarget.get(targetId);
    if (current?.address === address) {
      return current;
    }
    const pools = this.#createPools(address);
    if (pools === undefined) {
      return undefined;
    }
    this.#closePools(targetId);
    this.#poolsByTarget.set(targetId, pools);
    this.#evictOldest();
    return pools;
  }

  /**
   * Finds the pools of a target without creating them.
   *
   * @param targetId Id of the target.
   * @returns The pools, or `undefined` if there are none.
   */
  find(targetId: string): TargetPools | undefined {
    return this.#poolsByTarget.get(targetId);
  }

  /**
   * Checks whether one more stream would have to wait for a connection.
   *
   * @param pools Pools of the target.
   * @returns Whether all connections for streams are in use.
   */
  isStreamPoolFull(pools: TargetPools): boolean {
    return pools.streamPool.stats.size >= this.#limits.maxStreamConnections;
  }

  /** Destroys all connections and aborts the exchanges in progress. */
  async stop(): Promise<void> {
    const targets = [...this.#poolsByTarget.values()];
    this.#poolsByTarget.clear();
    await Promise.all(
      targets.flatMap(({ streamPool, controlPool }) => [
        streamPool.destroy(),
        controlPool.destroy(),
      ]),
    );
  }

  #createPools(address: string): TargetPools | undefined {
    try {
      return {
        address,
        streamPool: this.#createPool(
          address,
          this.#limits.maxStreamConnections,
        ),
        controlPool: this.#createPool(address, MAX_CONTROL_CONNECTIONS),
      };
    } catch {
      return undefined;
    }
  }

  #createPool(address: string, connections: number): Pool {
    return new Pool(`http://${address}`, {
      connections,
      pipelining: 1,
      connectTimeout: this.#limits.connectTimeoutMs,
      keepAliveTimeout: this.#limits.keepAliveTimeoutMs,
    });
  }

  #closePools(targetId: string): void {
    const pools = this.#poolsByTarget.get(targetId);
    this.#poolsByTarget.delete(targetId);
    // close() lets streams in progress finish.
    void pools?.streamPool.close();
    void pools?.controlPool.close();
  }

  #evictOldest(): void {
    if (this.#poolsByTarget.size <= MAX_TARGETS) {
      return;
    }
    const [oldestTargetId] = this.#poolsByTarget.keys();
    this.#closePools(oldestTargetId);
  }
}
