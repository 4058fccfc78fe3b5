/** This instance's side of a peer handshake: its hello and the two proofs. */

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

/** Identity, secret and role of this instance in a handshake. */
export interface PeerHandshakeOptions {
  readonly identity: Pick<
    Hello,
    "instanceId" | "incarnation" | "failureDomain"
  >;
  /** Secret shared by all instances. */
  readonly secret: string;
  /** Side of the connection that this instance takes. */
  readonly role: HandshakeRole;
}

const OPPOSITE_ROLE: Readonly<Record<HandshakeRole, HandshakeRole>> = {
  [HandshakeRole.Dialler]: HandshakeRole.Acceptor,
  [HandshakeRole.Acceptor]: HandshakeRole.Dialler,
};

/** Creates and verifies the messages of one handshake. */
export class PeerHandshake {
  /** First message to send; holds a fresh nonce. */
  readonly ownHello: Hello;
  readonly #secret: string;
  readonly #role: HandshakeRole;

  /** @param options Identity, secret and role of this instance. */
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
   * Creates the proof that this instance has the shared secret.
   *
   * @param peerHello Hello received from the peer.
   * @returns Proof message to send.
   */
  prove(peerHello: Hello): Proof {
    const transcript = this.#transcript(peerHello);
    return createProof(this.#secret, { transcript, role: this.#role });
  }

  /**
   * Verifies the proof of the peer.
   *
   * @param peerHello Hello received from the peer.
   * @param proof Proof received from the peer.
   * @returns Whether the proof was made with the shared secret.
   */
  isPeerProofValid(peerHello: Hello, proof: Proof): boolean {
    return isProofValid(proof, {
      secret: this.#secret,
      role: OPPOSITE_ROLE[this.#role],
      transcript: this.#transcript(peerHello),
    });
  }

  #transcript(peerHello: Hello): HandshakeTranscript {
    return this.#role === HandshakeRole.Dialler
      ? { dialler: this.ownHello, acceptor: peerHello }
      : { dialler: peerHello, acceptor: this.ownHello };
  }
}
