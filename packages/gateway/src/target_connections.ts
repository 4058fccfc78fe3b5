/** Keep-alive connections to targets. */

import { Agent } from "node:http";
import type { Duplex } from "node:stream";
import type { Socket } from "node:net";
import type { ConnectToTarget } from "./ports.ts";

/**
 * Longest time that an idle connection is kept. Targets close idle connections
 * after a time that not all of them announce, and a request sent on one that is
 * being closed is lost, so connections are not kept for long.
 */
const MAX_IDLE_MS = 4000;

/** Share of a target's connections that all instances together keep idle. */
const IDLE_CONNECTION_SHARE = 0.5;

/** An agent that closes idle connections on which data arrives. */
class IdleDataGuardAgent extends Agent {
  // deno-lint-ignore no-explicit-any
  override keepSocketAlive(socket: Duplex): any {
    // Declared without a result, but it returns whether the connection is kept.
    const kept = super.keepSocketAlive(socket) as unknown as boolean;
    if (kept) {
      // Data without a request could be taken for the answer to the next
      // request on this connection.
      socket.once("data", closeConnection);
    }
    return kept;
  }

  // deno-lint-ignore no-explicit-any
  override reuseSocket(socket: Duplex, request: any): void {
    socket.removeListener("data", closeConnection);
    super.reuseSocket(socket, request);
  }
}

function closeConnection(this: Socket): void {
  this.destroy();
}

/** Holds one agent for each target's address. */
export class TargetConnections {
  readonly #connect: ConnectToTarget;
  readonly #byAddress = new Map<string, Agent>();

  /** @param connect Opens a connection to a target. */
  constructor(connect: ConnectToTarget) {
    this.#connect = connect;
  }

  /**
   * Returns the agent of a target, and creates it if there is none.
   *
   * @param address `ip:port` of the target.
   * @param of Connections that the target accepts from all instances together,
   * and the number of instances that share them.
   * @returns The agent, with its limit of idle connections updated.
   */
  agent(
    address: string,
    of: { maxConnections: number; instances: number },
  ): Agent {
    const maxFreeSockets = Math.max(
      1,
      Math.floor(
        of.maxConnections * IDLE_CONNECTION_SHARE / Math.max(1, of.instances),
      ),
    );
    let agent = this.#byAddress.get(address);
    if (agent === undefined) {
      agent = new IdleDataGuardAgent({
        keepAlive: true,
        scheduling: "lifo",
        timeout: MAX_IDLE_MS,
        maxFreeSockets,
      });
      agent.createConnection = this.#connect;
      this.#byAddress.set(address, agent);
    }
    agent.maxFreeSockets = maxFreeSockets;
    return agent;
  }

  /**
   * Closes the idle connections to a target whose process was restarted: those
   * to the old process would fail on their next use.
   *
   * @param address `ip:port` of the target.
   */
  closeIdle(address: string): void {
    const kept = this.#byAddress.get(address)?.freeSockets ?? {};
    for (const socket of Object.values(kept).flatMap((list) => list ?? [])) {
      socket.destroy();
    }
  }

  /** Closes all idle connections, as they may no longer work. */
  closeAllIdle(): void {
    for (const address of this.#byAddress.keys()) {
      this.closeIdle(address);
    }
  }

  /**
   * Closes the connections to other targets, except to those with a request in
   * flight.
   *
   * @param addresses `ip:port` of each target that is still in use.
   */
  keepOnly(addresses: ReadonlySet<string>): void {
    for (const [address, agent] of this.#byAddress) {
      // An agent that could not open a connection keeps an empty list.
      const isBusy = Object.values(agent.sockets)
        .some((sockets) => sockets !== undefined && sockets.length > 0);
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
