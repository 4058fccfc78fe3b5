/** Effects: actions that the scheduler core requests from the I/O layer. */

import type { PeerMessage } from "@chestnuthatch/wire/peer_messages";
import type { AttemptRef, ClaimRow } from "./events.ts";
import type { Answer, Refusal } from "./request.ts";

/** Kinds of {@link Effect}. */
export enum EffectKind {
  SendPeer = "send_peer",
  Dispatch = "dispatch",
  ResumeStream = "resume_stream",
  CancelStream = "cancel_stream",
  WriteClaim = "write_claim",
  VoidClaim = "void_claim",
  KeepAnswer = "keep_answer",
  ReadKeptAnswer = "read_kept_answer",
  AnswerCaller = "answer_caller",
  RefuseCaller = "refuse_caller",
  StreamToCaller = "stream_to_caller",
  PollLoad = "poll_load",
  PollCacheEvents = "poll_cache_events",
  PollInstanceList = "poll_instance_list",
  PollSettings = "poll_settings",
  SettingsInForce = "settings_in_force",
  ConnectPeer = "connect_peer",
  DisconnectPeer = "forget_peer",
  Log = "log",
  Count = "count",
  ShutdownDone = "shutdown_done",
}

/** Severity of a log line. */
export enum LogLevel {
  Debug = "debug",
  Info = "info",
  Warn = "warn",
  Error = "error",
}

/** Part of the system that writes a log line; it is the line's prefix. */
export enum LogPart {
  Requests = "requests",
  Asks = "asks",
  Coordinator = "coordinator",
  Members = "members",
  Targets = "targets",
  Settings = "settings",
  Claims = "claims",
  Shutdown = "shutdown",
  Peers = "peers",
  Callers = "callers",
  Platform = "platform",
  Daemon = "daemon",
}

/** Names of the counters that the core increments. */
export enum CounterName {
  RequestsReceived = "requests_received",
  Answers = "answers",
  Refusals = "refusals",
  Dispatches = "dispatches",
  StrayAnswersDropped = "stray_answers_dropped",
  GrantsGiven = "grants_given",
  GrantsReturned = "grants_returned",
  StaleGrants = "stale_grants",
  AskTimeouts = "ask_timeouts",
  Preemptions = "preemptions",
  StreamResumes = "stream_resumes",
  PromptTokensDispatched = "prompt_tokens_dispatched",
  PromptTokensWasted = "prompt_tokens_wasted",
}

/** A claim row to write or to void. */
export interface ClaimRowChange {
  readonly requestId: string;
  readonly key: string;
  readonly row: ClaimRow;
}

/** An action for the I/O layer, by kind. */
export type Effect =
  | {
    readonly kind: EffectKind.SendPeer;
    readonly peerId: string;
    readonly message: PeerMessage;
  }
  | ({
    readonly kind: EffectKind.Dispatch;
    readonly targetId: string;
    readonly pool: string;
    readonly maxOutputTokens: number;
    readonly tierRank: number;
    readonly value: number;
    /** Time left to send it; after that it must not be sent. */
    readonly timeLeftMs: number;
    /**
     * Time left to receive its answer. It ends after the callers' deadlines,
     * and much later where the answer is kept for an idempotency key.
     */
    readonly answerTimeLeftMs: number;
  } & AttemptRef)
  | ({
    readonly kind: EffectKind.ResumeStream;
    readonly targetId: string;
    readonly fromToken: number;
    readonly answerTimeLeftMs: number;
  } & AttemptRef)
  | ({
    readonly kind: EffectKind.CancelStream;
    readonly targetId: string;
  } & AttemptRef)
  | ({ readonly kind: EffectKind.WriteClaim } & ClaimRowChange)
  | ({ readonly kind: EffectKind.VoidClaim } & ClaimRowChange)
  | {
    readonly kind: EffectKind.KeepAnswer;
    readonly requestId: string;
    readonly key: string;
    readonly content: string;
  }
  | {
    readonly kind: EffectKind.ReadKeptAnswer;
    readonly requestId: string;
    readonly key: string;
  }
  | {
    readonly kind: EffectKind.AnswerCaller;
    /** Id of the answered call; several calls may join one request. */
    readonly requestId: string;
    readonly answer: Answer;
  }
  | {
    readonly kind: EffectKind.RefuseCaller;
    readonly requestId: string;
    readonly refusal: Refusal;
  }
  | {
    readonly kind: EffectKind.StreamToCaller;
    readonly requestId: string;
    readonly text: string;
  }
  | {
    readonly kind: EffectKind.PollLoad;
    readonly targetId: string;
    readonly address: string;
  }
  | {
    readonly kind: EffectKind.PollCacheEvents;
    readonly targetId: string;
    readonly address: string;
    readonly after: number;
  }
  | { readonly kind: EffectKind.PollInstanceList }
  | { readonly kind: EffectKind.PollSettings; readonly haveVersion: number }
  | { readonly kind: EffectKind.SettingsInForce; readonly version: number }
  | {
    readonly kind: EffectKind.ConnectPeer;
    readonly peerId: string;
    readonly address: string;
  }
  | { readonly kind: EffectKind.DisconnectPeer; readonly peerId: string }
  | {
    readonly kind: EffectKind.Log;
    readonly level: LogLevel;
    readonly part: LogPart;
    readonly text: string;
  }
  | {
    readonly kind: EffectKind.Count;
    readonly counter: CounterName;
    readonly by: number;
    /** Label values, from a bounded set. */
    readonly labels: Readonly<Record<string, string>>;
  }
  | { readonly kind: EffectKind.ShutdownDone };

/** The type of the effects of one kind. */
export type EffectOf<K extends EffectKind> = Extract<Effect, { kind: K }>;
