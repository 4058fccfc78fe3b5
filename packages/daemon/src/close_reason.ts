/** Reasons why connections between instances close, and how each is logged. */

import { LogLevel } from "@chestnuthatch/core/effects";

/** Reason why a connection closed; the values are metric labels. */
export enum CloseReason {
  /** The socket closed without an error. */
  Ended = "ended",
  SocketError = "socket_error",
  HandshakeTimeout = "handshake_timeout",
  /** The peer closed before it sent a valid proof. */
  HandshakeAborted = "handshake_aborted",
  /** The peer has another protocol version. */
  ProtocolMismatch = "protocol_mismatch",
  /** The peer's proof of the shared secret is invalid. */
  ProofRejected = "proof_rejected",
  /** The peer states this instance's own id. */
  OwnId = "own_id",
  /** Another instance than the one dialled answered at the address. */
  UnexpectedPeer = "unexpected_peer",
  /** A newer incarnation of the peer has already connected. */
  OlderIncarnation = "older_incarnation",
  /** A newer incarnation of the peer connected. */
  Superseded = "superseded",
  TooManyConnections = "too_many_connections",
  /** The peer sent an invalid frame. */
  BadFrame = "bad_frame",
  /** The queue was full and a frame could not be dropped. */
  QueueOverflow = "queue_overflow",
  /** Nothing was received for too many keep-alive intervals. */
  Silent = "silent",
  /** Queued frames were not sent within the drain timeout. */
  DrainTimeout = "drain_timeout",
  /** The peer was removed from those that this instance dials. */
  PeerRemoved = "forgotten",
  /** This instance is shutting down. */
  Stopped = "stopped",
}

/** Level and text with which a close reason is logged. */
export interface CloseReport {
  readonly level: LogLevel;
  readonly text: string;
  /** Whether this instance refused the peer; such closes are counted. */
  readonly isRefusal: boolean;
}

function debugReport(text: string): CloseReport {
  return { level: LogLevel.Debug, text, isRefusal: false };
}

function faultReport(text: string): CloseReport {
  return { level: LogLevel.Warn, text, isRefusal: false };
}

function refusalReport(text: string): CloseReport {
  return { level: LogLevel.Warn, text, isRefusal: true };
}

/** Log report of each close reason. */
export const CLOSE_REPORTS: Readonly<Record<CloseReason, CloseReport>> = {
  [CloseReason.Ended]: debugReport("the socket closed"),
  [CloseReason.SocketError]: debugReport("the socket failed"),
  [CloseReason.HandshakeTimeout]: faultReport("the handshake timed out"),
  [CloseReason.HandshakeAborted]: faultReport(
    "the peer closed it during the handshake",
  ),
  [CloseReason.ProtocolMismatch]: refusalReport("its protocol version differs"),
  [CloseReason.ProofRejected]: refusalReport(
    "its proof of the secret is invalid",
  ),
  [CloseReason.OwnId]: refusalReport("it has this instance's own id"),
  [CloseReason.UnexpectedPeer]: refusalReport(
    "another instance answered at its address",
  ),
  [CloseReason.OlderIncarnation]: refusalReport("its incarnation is outdated"),
  [CloseReason.Superseded]: debugReport("a newer incarnation connected"),
  [CloseReason.TooManyConnections]: refusalReport(
    "too many connections are open",
  ),
  [CloseReason.BadFrame]: faultReport("it sent an invalid frame"),
  [CloseReason.QueueOverflow]: faultReport("its send queue overflowed"),
  [CloseReason.Silent]: faultReport("nothing was received from it in time"),
  [CloseReason.DrainTimeout]: faultReport(
    "queued frames were not sent in time",
  ),
  [CloseReason.PeerRemoved]: debugReport("the peer was removed"),
  [CloseReason.Stopped]: debugReport("this instance is stopping"),
};
