/** Events that the I/O layer passes to the scheduler core. */

import type { InstanceList } from "@chestnuthatch/wire/platform_protocol";
import type { PeerMessage } from "@chestnuthatch/wire/peer_messages";
import type {
  CacheEventsAnswer,
  EngineEvent,
} from "@chestnuthatch/wire/target_protocol";
import type { TargetLoad } from "@chestnuthatch/wire/shared_types";
import type { RequestSpec } from "./request.ts";

/** Kinds of {@link CoreEvent}. */
export enum EventKind {
  /** Fires about every 50 ms. */
  Tick = "tick",
  RequestArrived = "request_arrived",
  CallerHungUp = "caller_hung_up",
  ClaimAnswered = "claim_answered",
  KeptAnswerRead = "kept_answer_read",
  PeerMessageReceived = "peer_message_received",
  PeerConnected = "peer_connected",
  PeerDisconnected = "peer_disconnected",
  /** A dispatch of which no byte was sent, as the connection was refused. */
  DispatchNotSent = "dispatch_not_sent",
  StreamEvent = "stream_event",
  /**
   * The stream of an answer closed, complete or not; the core decides which
   * from the events received.
   */
  StreamClosed = "stream_closed",
  ServiceAnswered = "service_answered",
  LoadReported = "load_reported",
  LoadReportFailed = "load_report_failed",
  CacheEventsRead = "cache_events_read",
  InstanceListRead = "instance_list_read",
  SettingsRead = "settings_read",
  ShutdownRequested = "shutdown_requested",
  ShutdownForced = "shutdown_forced",
}

/** Result of the write of a claim row. */
export enum ClaimOutcome {
  /** The row is the request's own: written, or read back with its nonce. */
  Held = "held",
  /** The row exists with another nonce. */
  HeldElsewhere = "held_elsewhere",
  /** The store did not answer, so the row may or may not exist. */
  Unknown = "unknown",
}

/** Content of a claim row, which locks an idempotency key in the store. */
export interface ClaimRow {
  /** Identifies the request that wrote the row. */
  readonly nonce: string;
  readonly holderId: string;
  readonly holderIncarnation: number;
  readonly requestId: string;
  /** Hash of the request's content, to detect a reused key. */
  readonly contentHash: string;
}

interface EventTime {
  /** Time of the event on the instance's own monotonic clock. */
  readonly nowMs: number;
}

/**
 * Identifies one attempt of a request; answers that name another attempt are
 * dropped.
 */
export interface AttemptRef {
  readonly requestId: string;
  readonly attemptNonce: string;
}

/** An event: something that happened outside the core, with its time. */
export type CoreEvent =
  & EventTime
  & (
    | { readonly kind: EventKind.Tick }
    | { readonly kind: EventKind.RequestArrived; readonly spec: RequestSpec }
    | { readonly kind: EventKind.CallerHungUp; readonly requestId: string }
    | {
      readonly kind: EventKind.ClaimAnswered;
      readonly requestId: string;
      readonly outcome: ClaimOutcome;
      /** The row that was found, for `HeldElsewhere`. */
      readonly found?: ClaimRow;
    }
    | {
      readonly kind: EventKind.KeptAnswerRead;
      readonly requestId: string;
      /** JSON of the kept answer; absent when there is none. */
      readonly content?: string;
      /** Whether the store did not answer. */
      readonly unavailable: boolean;
    }
    | {
      readonly kind: EventKind.PeerMessageReceived;
      readonly fromId: string;
      /** Incarnation of the peer that opened the connection. */
      readonly fromIncarnation: number;
      readonly message: PeerMessage;
    }
    | {
      readonly kind: EventKind.PeerConnected;
      readonly peerId: string;
      /** From the peer's handshake; absent where it is not known. */
      readonly failureDomain?: string;
    }
    | { readonly kind: EventKind.PeerDisconnected; readonly peerId: string }
    | ({
      readonly kind: EventKind.DispatchNotSent;
      readonly reason: string;
      /** False where this instance is the cause, not the target. */
      readonly targetUnreachable: boolean;
    } & AttemptRef)
    | ({
      readonly kind: EventKind.StreamEvent;
      /** The line as received; it may name another attempt by mistake. */
      readonly event: EngineEvent;
    } & AttemptRef)
    | ({
      readonly kind: EventKind.StreamClosed;
      /** Why it closed; empty for a regular end of the HTTP body. */
      readonly reason: string;
      /** Whether the target refuses connections or has no such attempt. */
      readonly lost?: boolean;
    } & AttemptRef)
    | ({
      readonly kind: EventKind.ServiceAnswered;
      /** Ids in the service's answer. */
      readonly answered: AttemptRef;
      readonly body: string;
    } & AttemptRef)
    | { readonly kind: EventKind.LoadReported; readonly load: TargetLoad }
    | {
      readonly kind: EventKind.LoadReportFailed;
      readonly targetId: string;
    }
    | {
      readonly kind: EventKind.CacheEventsRead;
      readonly targetId: string;
      readonly answer: CacheEventsAnswer;
    }
    | { readonly kind: EventKind.InstanceListRead; readonly list: InstanceList }
    | {
      readonly kind: EventKind.SettingsRead;
      readonly version: number;
      readonly content: string;
      readonly changeId: string;
    }
    | { readonly kind: EventKind.ShutdownRequested }
    | { readonly kind: EventKind.ShutdownForced }
  );

/** The type of the events of one kind. */
export type EventOf<K extends EventKind> = Extract<CoreEvent, { kind: K }>;
