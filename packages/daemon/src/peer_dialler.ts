/** Dials one peer, with backoff between attempts, until stopped. */

import type { Backoff } from "./backoff.ts";
import type { PeerAddress } from "./peer_address.ts";
import type { PeerConnection } from "./peer_connection.ts";

/** Address, backoff and dial function of a {@link PeerDialler}. */
export interface PeerDiallerOptions {
  readonly address: PeerAddress;
  readonly backoff: Backoff;
  /** Opens one connection; its close must be reported to `onAttemptClosed`. */
  readonly dial: (address: PeerAddress) => PeerConnection;
}

/** Keeps at most one dial attempt or outgoing connection to a peer. */
export class PeerDialler {
  readonly #options: PeerDiallerOptions;
  #timer: NodeJS.Timeout | null = null;
  #attempt: PeerConnection | null = null;
  #hasDialled = false;
  #stopped = false;

  /** @param options Address, backoff and dial function. */
  constructor(options: PeerDiallerOptions) {
    this.#options = options;
  }

  /** Address at which the peer is dialled. */
  get address(): PeerAddress {
    return this.#options.address;
  }

  /**
   * Dials unless an attempt is pending: immediately the first time, after a
   * backoff delay later on.
   */
  ensureDialling(): void {
    if (this.#stopped || this.#attempt || this.#timer) return;
    if (!this.#hasDialled) {
      this.#dial();
      return;
    }
    const delayMs = this.#options.backoff.nextDelayMs();
    this.#timer = setTimeout(() => this.#dial(), delayMs);
    this.#timer.unref();
  }

  /**
   * Records that an outgoing connection has closed.
   *
   * @param connection Connection to the peer that this instance dialled.
   */
  onAttemptClosed(connection: PeerConnection): void {
    if (this.#attempt === connection) this.#attempt = null;
  }

  /**
   * Resets the backoff and cancels a pending redial. Called when a link to the
   * peer opens, whichever side dialled it.
   */
  onLinkOpened(): void {
    this.#options.backoff.reset();
    this.#cancelTimer();
  }

  /** Stops dialling; a connection that is open stays open. */
  stop(): void {
    this.#stopped = true;
    this.#cancelTimer();
  }

  #dial(): void {
    this.#timer = null;
    this.#hasDialled = true;
    this.#attempt = this.#options.dial(this.#options.address);
  }

  #cancelTimer(): void {
    if (this.#timer) clearTimeout(this.#timer);
    this.#timer = null;
  }
}
