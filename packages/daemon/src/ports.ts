/** What every edge of an instance is handed, and how it tells the core. */

import type { CoreEvent } from "@chestnuthatch/core/events";
import type {
  CounterName,
  LogLevel,
  LogPart,
} from "@chestnuthatch/core/effects";

/** The instance's monotonic clock. */
export interface Clock {
  /** @returns Milliseconds since some fixed moment of this process. */
  nowMs(): number;
}

type WithoutTime<T> = T extends unknown ? Omit<T, "nowMs"> : never;

/** An event before the instance stamps it with the time. */
export type UntimedEvent = WithoutTime<CoreEvent>;

/** Takes what an edge has to tell the core. */
export type EventSink = (event: UntimedEvent) => void;

/** Writes one log line with its part's prefix. */
export type LogSink = (level: LogLevel, part: LogPart, text: string) => void;

/** Raises a counter. */
export type CountSink = (
  counter: CounterName | EdgeCounterName,
  labels: Readonly<Record<string, string>>,
  by: number,
) => void;

/** Counters that only edges raise. */
export enum EdgeCounterName {
  PeerFramesRejected = "peer_frames_rejected",
  PeerBytesSent = "peer_bytes_sent",
  PeerBytesReceived = "peer_bytes_received",
  PeerConnectionsRefused = "peer_connections_refused",
  CallerBodiesRejected = "caller_bodies_rejected",
  PlatformCalls = "platform_calls",
  PlatformFailures = "platform_failures",
  TargetCalls = "target_calls",
}

/** What every edge is handed. */
export interface EdgeContext {
  readonly clock: Clock;
  readonly emit: EventSink;
  readonly log: LogSink;
  readonly count: CountSink;
}
