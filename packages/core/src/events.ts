/** Everything the core can be told. Each event carries the local time. */

import type { InstanceList } from "@chestnuthatch/wire/platform_protocol";
import type { PeerMessage } from "@chestnuthatch/wire/peer_messages";
import type {
  CacheEventsAnswer,
  EngineEvent,
} from "@chestnuthatch/wire/target_protocol";
import type { TargetLoad } from "@chestnuthatch/wire/shared_types";
import type { RequestSpec } from "./request.ts";

/** Kinds of event. */
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
  /** The connection was refused: no byte of the request left. */
  DispatchNotSent = "dispatch_not_sent",
  StreamEvent = "stream_event",
  /** The stream closed, whole or not; the core knows from its events. */
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

/** How a claim write or read ended. */
export enum ClaimOutcome {
  /** The row is ours: written now, or read back with our nonce. */
  Held = "held",
  /** Another nonce holds the row. */
  HeldElsewhere = "held_elsewhere",
  /** The store did not answer; the row may or may not exist. */
  Unknown = "unknown",
}

/** What a claim row says. */
export interface ClaimRow {
  readonly nonce: string;
  readonly holderId: string;
  readonly holderIncarnation: number;
  readonly requestId: string;
  readonly contentHash: string;
}

interface AtTime {
  /** The instance's own monotonic clock, in milliseconds. */
  readonly nowMs: number;
}

/** Names one attempt; answers that name another are dropped. */
export interface AttemptRef {
  readonly requestId: string;
  readonly attemptNonce: string;
}

/** An event, by kind. */
export type CoreEvent =
  & AtTime
  & (
    | { readonly kind: EventKind.Tick }
    | { readonly kind: EventKind.RequestArrived; readonly spec: RequestSpec }
    | { readonly kind: EventKind.CallerHungUp; readonly requestId: string }
    | {
      readonly kind: EventKind.ClaimAnswered;
      readonly requestId: string;
      readonly outcome: ClaimOutcome;
      /** The row found, when held elsewhere. */
      readonly found?: ClaimRow;
    }
    | {
      readonly kind: EventKind.KeptAnswerRead;
      readonly requestId: string;
      /** JSON of a kept answer; absent when there is none. */
      readonly content?: string;
      /** True when the store did not answer. */
      readonly unavailable: boolean;
    }
    | {
      readonly kind: EventKind.PeerMessageReceived;
      readonly fromId: string;
      /** Incarnation the connection was opened by. */
      readonly fromIncarnation: number;
      readonly message: PeerMessage;
    }
    | {
      readonly kind: EventKind.PeerConnected;
      readonly peerId: string;
      /** As the peer's handshake says, where the edge knows it. */
      readonly failureDomain?: string;
    }
    | { readonly kind: EventKind.PeerDisconnected; readonly peerId: string }
    | ({
      readonly kind: EventKind.DispatchNotSent;
      readonly reason: string;
      /** False where the cause lies with this instance, not the target. */
      readonly targetUnreachable: boolean;
    } & AttemptRef)
    | ({
      readonly kind: EventKind.StreamEvent;
      /** As received; may name another attempt when answers are crossed. */
      readonly event: EngineEvent;
    } & AttemptRef)
    | ({
      readonly kind: EventKind.StreamClosed;
      /** Why it closed; empty for a clean end of the HTTP body. */
      readonly reason: string;
      /** True where the target refuses connections or knows no such attempt. */
      readonly lost?: boolean;
    } & AttemptRef)
    | ({
      readonly kind: EventKind.ServiceAnswered;
      /** Ids as the service's answer named them. */
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

/** The event of one kind. */
export type EventOf<K extends EventKind> = Extract<CoreEvent, { kind: K }>;
