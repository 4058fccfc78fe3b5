/** Dials one peer, again and again, until told to stop. */

import type { Backoff } from "./backoff.ts";
import type { PeerAddress } from "./peer_address.ts";
import type { PeerConnection } from "./peer_connection.ts";

/** What a dialler needs. */
export interface PeerDiallerOptions {
  readonly address: PeerAddress;
  readonly backoff: Backoff;
  /** Opens one connection; `attemptEnded` is told of it when it has closed. */
  readonly dial: (address: PeerAddress) => PeerConnection;
}

/** Keeps at most one attempt or one outgoing connection to a peer. */
export class PeerDialler {
  readonly #options: PeerDiallerOptions;
  #timer: NodeJS.Timeout | null = null;
  #attempt: PeerConnection | null = null;
  #attempted = false;
  #stopped = false;

  /** @param options The address, the delays and how to dial. */
  constructor(options: PeerDiallerOptions) {
    this.#options = options;
  }

  /** @returns Where it dials. */
  get address(): PeerAddress {
    return this.#options.address;
  }

  /** Dials, at once the first time and after a delay later on. */
  ensureDialling(): void {
    if (this.#stopped || this.#attempt || this.#timer) return;
    if (!this.#attempted) {
      this.#dial();
      return;
    }
    const delayMs = this.#options.backoff.nextDelayMs();
    this.#timer = setTimeout(() => this.#dial(), delayMs);
    this.#timer.unref();
  }

  /** @param connection A connection dialled to the peer that has closed. */
  attemptEnded(connection: PeerConnection): void {
    if (this.#attempt === connection) this.#attempt = null;
  }

  /** Tells that a connection to the peer is up, whoever dialled it. */
  linkUp(): void {
    this.#options.backoff.reset();
    this.#cancelTimer();
  }

  /** Dials no more. */
  stop(): void {
    this.#stopped = true;
    this.#cancelTimer();
  }

  #dial(): void {
    this.#timer = null;
    this.#attempted = true;
    this.#attempt = this.#options.dial(this.#options.address);
  }

  #cancelTimer(): void {
    if (this.#timer) clearTimeout(this.#timer);
    this.#timer = null;
  }
}
