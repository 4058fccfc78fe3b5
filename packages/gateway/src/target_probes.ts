/** Finds out whether a target's process is gone, right after a lost answer. */

import { connect } from "node:net";
import { hostPortOf } from "./host_port.ts";

/**
 * Time for an answer; a connection takes a few milliseconds. Whoever waits for
 * it has lost an answer and is about to ask for another place.
 */
const PROBE_MS = 60;

/** How a host says that nobody listens at a port. */
const REFUSED = "ECONNREFUSED";

/** Probes under way, one for all that lost an answer there. */
export class TargetProbes {
  readonly #underWay = new Map<string, Promise<boolean>>();

  /**
   * @param address `ip:port` of a target.
   * @returns Whether its host says that nobody listens there; false also where
   * it does not answer in time.
   */
  hasEnded(address: string): Promise<boolean> {
    let probe = this.#underWay.get(address);
    if (probe === undefined) {
      probe = isRefused(address);
      this.#underWay.set(address, probe);
      void probe.then(() => this.#underWay.delete(address));
    }
    return probe;
  }
}

function isRefused(address: string): Promise<boolean> {
  const { host, port } = hostPortOf(address);
  return new Promise((resolve) => {
    const socket = connect({ host, port, timeout: PROBE_MS });
    const answer = (refused: boolean) => {
      socket.destroy();
      resolve(refused);
    };
    socket.on("connect", () => answer(false));
    socket.on("timeout", () => answer(false));
    socket.on("error", (error: NodeJS.ErrnoException) => {
      answer(error.code === REFUSED);
    });
  });
}
