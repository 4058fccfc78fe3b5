/** This instance's side of a handshake: its hello, and the two proofs. */

import {
  createNonce,
  createProof,
  HandshakeMessageKind,
  HandshakeRole,
  type HandshakeTranscript,
  type Hello,
  isProofValid,
  type Proof,
} from "@chestnuthatch/wire/handshake";
import { PEER_PROTOCOL_VERSION } from "@chestnuthatch/wire/peer_messages";

/** What an instance brings to a handshake. */
export interface PeerHandshakeOptions {
  readonly identity: Pick<
    Hello,
    "instanceId" | "incarnation" | "failureDomain"
  >;
  readonly secret: string;
  readonly role: HandshakeRole;
}

const OTHER_ROLE: Readonly<Record<HandshakeRole, HandshakeRole>> = {
  [HandshakeRole.Dialler]: HandshakeRole.Acceptor,
  [HandshakeRole.Acceptor]: HandshakeRole.Dialler,
};

/** Makes and checks what one handshake exchanges. */
export class PeerHandshake {
  /** Sent first, with a nonce of its own. */
  readonly ownHello: Hello;
  readonly #secret: string;
  readonly #role: HandshakeRole;

  /** @param options Who this instance is, and its side of the connection. */
  constructor(options: PeerHandshakeOptions) {
    const { instanceId, incarnation, failureDomain } = options.identity;
    this.#secret = options.secret;
    this.#role = options.role;
    this.ownHello = {
      kind: HandshakeMessageKind.Hello,
      protocolVersion: PEER_PROTOCOL_VERSION,
      instanceId,
      incarnation,
      failureDomain,
      nonce: createNonce(),
    };
  }

  /**
   * Proves that this instance knows the secret.
   *
   * @param peerHello The other side's hello.
   * @returns The proof to send.
   */
  prove(peerHello: Hello): Proof {
    const transcript = this.#transcript(peerHello);
    return createProof(this.#secret, { transcript, role: this.#role });
  }

  /**
   * Checks the other side's proof.
   *
   * @param peerHello The other side's hello.
   * @param proof Its proof.
   * @returns Whether it knows the secret.
   */
  isValid(peerHello: Hello, proof: Proof): boolean {
    return isProofValid(proof, {
      secret: this.#secret,
      role: OTHER_ROLE[this.#role],
      transcript: this.#transcript(peerHello),
    });
  }

  #transcript(peerHello: Hello): HandshakeTranscript {
    return this.#role === HandshakeRole.Dialler
      ? { dialler: this.ownHello, acceptor: peerHello }
      : { dialler: peerHello, acceptor: this.ownHello };
  }
}
