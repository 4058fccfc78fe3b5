/** Kept connections to targets. */

import { Agent } from "node:http";
import type { Duplex } from "node:stream";
import type { Socket } from "node:net";

/**
 * Time that a connection is kept without use. Targets close idle connections
 * after a time that not all of them tell; a request sent on one that is being
 * closed is lost, so connections are not kept for long.
 */
const MAX_IDLE_MS = 4000;

/** Share of a target's connections that all instances keep idle together. */
const IDLE_SHARE = 0.5;

/** An agent that drops idle connections on which anything arrives. */
class WatchedAgent extends Agent {
  // deno-lint-ignore no-explicit-any
  override keepSocketAlive(socket: Duplex): any {
    // Declared to return nothing; it tells whether the connection is kept.
    const kept = super.keepSocketAlive(socket) as unknown as boolean;
    if (kept) {
      // An answer that nobody asked for: the next request on this connection
      // could take it for its own.
      socket.once("data", dropConnection);
    }
    return kept;
  }

  // deno-lint-ignore no-explicit-any
  override reuseSocket(socket: Duplex, request: any): void {
    socket.removeListener("data", dropConnection);
    super.reuseSocket(socket, request);
  }
}

function dropConnection(this: Socket): void {
  this.destroy();
}

/** One agent for each address, closed with its target. */
export class TargetConnections {
  readonly #byAddress = new Map<string, Agent>();

  /**
   * @param address `ip:port` of a target.
   * @param of Connections that it takes from all instances together, and how
   * many instances share them.
   * @returns The agent that keeps its connections.
   */
  agent(
    address: string,
    of: { maxConnections: number; instances: number },
  ): Agent {
    const maxFreeSockets = Math.max(
      1,
      Math.floor(of.maxConnections * IDLE_SHARE / Math.max(1, of.instances)),
    );
    let agent = this.#byAddress.get(address);
    if (agent === undefined) {
      agent = new WatchedAgent({
        keepAlive: true,
        scheduling: "lifo",
        timeout: MAX_IDLE_MS,
        maxFreeSockets,
      });
      this.#byAddress.set(address, agent);
    }
    agent.maxFreeSockets = maxFreeSockets;
    return agent;
  }

  /**
   * @param address Address of a target whose process started again: what is kept
   * of the old one fails on its next use.
   */
  dropIdle(address: string): void {
    const kept = this.#byAddress.get(address)?.freeSockets ?? {};
    for (const socket of Object.values(kept).flatMap((list) => list ?? [])) {
      socket.destroy();
    }
  }

  /** Closes what is kept of all targets: it may have fallen silent. */
  dropAllIdle(): void {
    for (const address of this.#byAddress.keys()) {
      this.dropIdle(address);
    }
  }

  /** @param addresses Addresses still in use; connections to others close. */
  keepOnly(addresses: ReadonlySet<string>): void {
    for (const [address, agent] of this.#byAddress) {
      const isBusy = Object.keys(agent.sockets).length > 0;
      if (!addresses.has(address) && !isBusy) {
        agent.destroy();
        this.#byAddress.delete(address);
      }
    }
  }

  /** Closes all connections. */
  close(): void {
    for (const agent of this.#byAddress.values()) {
      agent.destroy();
    }
    this.#byAddress.clear();
  }
}
