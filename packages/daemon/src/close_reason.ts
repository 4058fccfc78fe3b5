/** Why connections between instances close, and how that is reported. */

import { LogLevel } from "@chestnuthatch/core/effects";

/** Why a connection closed. The list is closed. */
export enum CloseReason {
  Ended = "ended",
  SocketError = "socket_error",
  HandshakeTimeout = "handshake_timeout",
  /** The other side closed before it had proved itself. */
  HandshakeAborted = "handshake_aborted",
  ProtocolMismatch = "protocol_mismatch",
  ProofRejected = "proof_rejected",
  /** The peer carries this instance's own id. */
  OwnId = "own_id",
  /** Another instance answered at the address. */
  UnexpectedPeer = "unexpected_peer",
  OlderIncarnation = "older_incarnation",
  /** The peer has come back as a newer incarnation. */
  Superseded = "superseded",
  TooManyConnections = "too_many_connections",
  BadFrame = "bad_frame",
  QueueOverflow = "queue_overflow",
  Silent = "silent",
  DrainTimeout = "drain_timeout",
  Forgotten = "forgotten",
  Stopped = "stopped",
}

/** How one reason is reported. */
export interface CloseReport {
  readonly level: LogLevel;
  readonly text: string;
  /** True when this instance turned the peer away. */
  readonly refused: boolean;
}

function quiet(text: string): CloseReport {
  return { level: LogLevel.Debug, text, refused: false };
}

function fault(text: string): CloseReport {
  return { level: LogLevel.Warn, text, refused: false };
}

function refusal(text: string): CloseReport {
  return { level: LogLevel.Warn, text, refused: true };
}

/** From reason to report. */
export const CLOSE_REPORTS: Readonly<Record<CloseReason, CloseReport>> = {
  [CloseReason.Ended]: quiet("it ended"),
  [CloseReason.SocketError]: quiet("the socket failed"),
  [CloseReason.HandshakeTimeout]: fault("the handshake took too long"),
  [CloseReason.HandshakeAborted]: fault("the peer broke off the handshake"),
  [CloseReason.ProtocolMismatch]: refusal("its protocol version differs"),
  [CloseReason.ProofRejected]: refusal("its proof of the secret is wrong"),
  [CloseReason.OwnId]: refusal("it carries this instance's own id"),
  [CloseReason.UnexpectedPeer]: refusal("another instance answered"),
  [CloseReason.OlderIncarnation]: refusal("its incarnation is outdated"),
  [CloseReason.Superseded]: quiet("a newer incarnation connected"),
  [CloseReason.TooManyConnections]: refusal("too many connections are open"),
  [CloseReason.BadFrame]: fault("it sent a bad frame"),
  [CloseReason.QueueOverflow]: fault("it reads too slowly"),
  [CloseReason.Silent]: fault("nothing was heard from it"),
  [CloseReason.DrainTimeout]: fault("it did not drain in time"),
  [CloseReason.Forgotten]: quiet("the peer was forgotten"),
  [CloseReason.Stopped]: quiet("this instance is stopping"),
};
