/** Checks, after a lost answer, whether a target's process has ended. */

import { hostPortOf } from "./host_port.ts";
import type { ConnectToTarget } from "./ports.ts";

/**
 * Timeout of a probe; a connection takes a few milliseconds. A request that
 * lost its answer waits for the probe before it asks for another target.
 */
const PROBE_TIMEOUT_MS = 60;

/** Error code of a connection to a port on which no process listens. */
const CONNECTION_REFUSED_CODE = "ECONNREFUSED";

/** Probes in flight; requests that lost answers at one target share a probe. */
export class TargetProbes {
  readonly #connect: ConnectToTarget;
  readonly #inFlight = new Map<string, Promise<boolean>>();

  /** @param connect Opens a connection to a target. */
  constructor(connect: ConnectToTarget) {
    this.#connect = connect;
  }

  /**
   * Probes a target by a connection to it.
   *
   * @param address `ip:port` of the target.
   * @returns Whether its host refused the connection; false also if the host
   * did not answer in time.
   */
  hasEnded(address: string): Promise<boolean> {
    let probe = this.#inFlight.get(address);
    if (probe === undefined) {
      probe = this.#isRefused(address);
      this.#inFlight.set(address, probe);
      void probe.then(() => this.#inFlight.delete(address));
    }
    return probe;
  }

  #isRefused(address: string): Promise<boolean> {
    const { host, port } = hostPortOf(address);
    return new Promise((resolve) => {
      const socket = this.#connect({ host, port, timeout: PROBE_TIMEOUT_MS });
      const answer = (refused: boolean) => {
        socket.destroy();
        resolve(refused);
      };
      socket.on("connect", () => answer(false));
      socket.on("timeout", () => answer(false));
      socket.on("error", (error: NodeJS.ErrnoException) => {
        answer(error.code === CONNECTION_REFUSED_CODE);
      });
    });
  }
}
