/** Checks whether this instance can connect to a target. */

import type { Socket } from "node:net";
import { hostPortOf } from "./host_port.ts";
import type { ConnectToTarget } from "./ports.ts";

/**
 * Timeout of a probe; a connection takes a few milliseconds. A request that
 * lost its answer waits for the probe before it asks for another target.
 */
const PROBE_TIMEOUT_MS = 60;

/** Error code of a connection to a port on which no process listens. */
const CONNECTION_REFUSED_CODE = "ECONNREFUSED";

/** Result of a probe. */
export enum ProbeResult {
  Connected = "connected",
  /** The target's host refused the connection. */
  Refused = "refused",
  /** The host did not answer in time, or the connection failed otherwise. */
  Failed = "failed",
}

/** Probes in flight; requests that lost answers at one target share a probe. */
export class TargetProbes {
  readonly #connect: ConnectToTarget;
  readonly #inFlight = new Map<string, Promise<ProbeResult>>();

  /** @param connect Opens a connection to a target. */
  constructor(connect: ConnectToTarget) {
    this.#connect = connect;
  }

  /**
   * Probes a target by a connection to it.
   *
   * @param address `ip:port` of the target.
   * @returns Whether it can be connected to, or why not.
   */
  probe(address: string): Promise<ProbeResult> {
    let probe = this.#inFlight.get(address);
    if (probe === undefined) {
      probe = this.#open(address);
      this.#inFlight.set(address, probe);
      void probe.then(() => this.#inFlight.delete(address));
    }
    return probe;
  }

  #open(address: string): Promise<ProbeResult> {
    return new Promise((resolve) => {
      let socket: Socket;
      try {
        socket = this.#connect(hostPortOf(address));
      } catch {
        // The port is out of range.
        resolve(ProbeResult.Failed);
        return;
      }
      const end = (result: ProbeResult) => {
        clearTimeout(timer);
        socket.destroy();
        resolve(result);
      };
      // If this process was late, the connection may be established already;
      // its event is handled first.
      const timer = setTimeout(
        () => setImmediate(() => end(ProbeResult.Failed)),
        PROBE_TIMEOUT_MS,
      );
      socket.on("connect", () => end(ProbeResult.Connected));
      socket.on("error", (error: NodeJS.ErrnoException) => {
        const isRefused = error.code === CONNECTION_REFUSED_CODE;
        end(isRefused ? ProbeResult.Refused : ProbeResult.Failed);
      });
    });
  }
}
