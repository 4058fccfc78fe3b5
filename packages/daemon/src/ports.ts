/**
 * Interfaces between the core and the edges of an instance. An edge is a
 * component that does input or output on behalf of the core: an adapter, in the
 * terms of ports and adapters.
 */

import type { CoreEvent } from "@chestnuthatch/core/events";
import type {
  CounterName,
  LogLevel,
  LogPart,
} from "@chestnuthatch/core/effects";

/** Monotonic clock of the instance. */
export interface Clock {
  /**
   * Reads the clock.
   *
   * @returns Milliseconds since an arbitrary fixed point in this process.
   */
  nowMs(): number;
}

type WithoutTime<T> = T extends unknown ? Omit<T, "nowMs"> : never;

/** An event to which the instance has not yet added the time. */
export type UntimedEvent = WithoutTime<CoreEvent>;

/** Passes an event from an edge to the core. */
export type EventSink = (event: UntimedEvent) => void;

/** Writes a log line with the prefix of the part that it comes from. */
export type LogSink = (level: LogLevel, part: LogPart, text: string) => void;

/** Increments a counter. */
export type CountSink = (
  counter: CounterName | EdgeCounterName,
  labels: Readonly<Record<string, string>>,
  by: number,
) => void;

/** Counters that only edges increment; the values are part of metric names. */
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

/** Clock, event sink, log and counters that every edge receives. */
export interface EdgeContext {
  readonly clock: Clock;
  readonly emit: EventSink;
  readonly log: LogSink;
  readonly count: CountSink;
}
