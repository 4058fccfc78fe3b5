/** Opens the addresses of an instance at its start. */

import { type EventLog, LogPart } from "./event_log.ts";
import type { Clock } from "./ports.ts";

/** Time between two attempts to open an address that is in use. */
const RETRY_INTERVAL_MS = 100;

/** Time between two attempts to open an optional address, without a limit. */
const OPTIONAL_RETRY_INTERVAL_MS = 1000;

/**
 * Minimum time for which a start waits for addresses that are in use. The
 * system releases those of a killed process within a second or two.
 */
const MIN_WAIT_MS = 10_000;

/** Time beyond the grace period in which a stopping process has ended. */
const GRACE_MARGIN_MS = 2000;

const IN_USE_CODE = "EADDRINUSE";

/** An address that an instance listens at. */
export interface Listener {
  /** What is served there, for the log. */
  readonly name: string;
  /** `ip:port` of the listener. */
  readonly address: string;
  /** Whether the instance serves callers without it while it is in use. */
  readonly isOptional?: boolean;
  /** @returns A promise that is fulfilled when it listens. */
  open(): Promise<void>;
}

/** Collaborators of an {@link AddressOpener}. */
export interface AddressOpenerParts {
  readonly clock: Clock;
  readonly log: EventLog;
  /** Grace period, for which a former process may keep its addresses. */
  readonly graceMs: number;
  /** @returns Whether the instance stops, so that nothing is opened. */
  isStopped(): boolean;
  /**
   * Waits.
   *
   * @param forMs Time to wait.
   * @returns A promise that is fulfilled after that time.
   */
  pause(forMs: number): Promise<void>;
}

/** Opens addresses, and waits for those that another process still uses. */
export class AddressOpener {
  readonly #parts: AddressOpenerParts;
  readonly #waitMs: number;
  readonly #untilMs: number;

  /** @param parts Collaborators, and the grace period. */
  constructor(parts: AddressOpenerParts) {
    this.#parts = parts;
    this.#waitMs = Math.max(MIN_WAIT_MS, parts.graceMs + GRACE_MARGIN_MS);
    this.#untilMs = parts.clock.nowMs() + this.#waitMs;
  }

  /**
   * Opens listeners one after another. An address that is in use is tried again
   * until the time for the whole start is over; one that is optional is tried
   * in the background, as long as the instance runs.
   *
   * @param listeners The listeners, in the order in which to open them.
   * @returns Whether all that are needed are open; false if the instance was
   * stopped meanwhile.
   * @throws {Error} If a listener cannot be opened.
   */
  async openAll(listeners: readonly Listener[]): Promise<boolean> {
    for (const listener of listeners) {
      if (this.#parts.isStopped()) {
        return false;
      }
      if (!listener.isOptional) {
        await this.#open(listener);
      } else if (!await tryOpen(listener)) {
        void this.#openLater(listener);
      }
    }
    return !this.#parts.isStopped();
  }

  async #open(listener: Listener): Promise<void> {
    const { clock, log } = this.#parts;
    const { name, address } = listener;
    let isWaiting = false;
    while (!this.#parts.isStopped() && !await tryOpen(listener)) {
      if (clock.nowMs() >= this.#untilMs) {
        throw new Error(
          `${name}: ${address} is still in use after ${this.#waitMs} ms; ` +
            "end the process that listens there, or change the address",
        );
      }
      if (!isWaiting) {
        isWaiting = true;
        log.warn(LogPart.Process, "address is in use, waiting for it", {
          listener: name,
          address,
          waitMs: this.#waitMs,
        });
      }
      await this.#parts.pause(RETRY_INTERVAL_MS);
    }
  }

  async #openLater(listener: Listener): Promise<void> {
    const { log, isStopped, pause } = this.#parts;
    const facts = { listener: listener.name, address: listener.address };
    log.warn(LogPart.Process, "address is in use, serving without it", facts);
    do {
      await pause(OPTIONAL_RETRY_INTERVAL_MS);
      if (isStopped()) {
        return;
      }
    } while (!await tryOpen(listener).catch(() => false));
    log.info(LogPart.Process, "address is open", facts);
  }
}

/** Returns false if the address is in use, and throws on other errors. */
async function tryOpen({ name, address, open }: Listener): Promise<boolean> {
  try {
    await open();
    return true;
  } catch (error) {
    const { code, message } = error as NodeJS.ErrnoException;
    if (code === IN_USE_CODE) {
      return false;
    }
    throw new Error(
      `${name}: cannot listen at ${address}: ${message}; ` +
        "check the address, and the right to use it",
      { cause: error },
    );
  }
}
