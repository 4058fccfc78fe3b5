/** Makes the edges of one entry instance and wires them to each other. */

import { randomUUID } from "node:crypto";
import { isAlive } from "@chestnuthatch/core/coordinators";
import { readinessOf } from "@chestnuthatch/core/readiness";
import type { SchedulerCore } from "@chestnuthatch/core/scheduler_core";
import { statusOf } from "@chestnuthatch/core/status";
import { ConsoleSpanExporter } from "@opentelemetry/sdk-trace-base";
import { CallerFront } from "./caller_front.ts";
import { dispatchInputOf } from "./dispatch_input.ts";
import type { Logger } from "./logger.ts";
import { GaugeName, Metrics } from "./metrics.ts";
import { PeerLinks } from "./peer_links.ts";
import { PlatformClient } from "./platform_client.ts";
import { PlatformHttp } from "./platform_http.ts";
import type { Clock, EdgeContext, EventSink } from "./ports.ts";
import { requestStateOf, requestStoryOf } from "./request_reads.ts";
import { type StartSettings, TraceExport } from "./start_settings.ts";
import { TargetClient } from "./target_client.ts";
import { NO_TRACING, type RequestTracing, SpanTracing } from "./tracing.ts";

/** What the edges are made from. */
export interface InstanceParts {
  readonly settings: StartSettings;
  readonly incarnation: number;
  readonly core: SchedulerCore;
  readonly clock: Clock;
  readonly logger: Logger;
  readonly emit: EventSink;
}

/** The edges of one instance. */
export interface InstanceEdges {
  readonly metrics: Metrics;
  readonly tracing: RequestTracing;
  readonly callers: CallerFront;
  readonly peers: PeerLinks;
  readonly targets: TargetClient;
  readonly platformHttp: PlatformHttp;
  readonly platform: PlatformClient;
}

const GAUGE_READERS: Readonly<
  Record<GaugeName, (parts: InstanceParts, callers: CallerFront) => number>
> = {
  [GaugeName.OpenRequests]: (_parts, callers) => callers.openRequests,
  [GaugeName.LiveMembers]: ({ core, clock }) =>
    [...core.board.members.byId.values()]
      .filter((member) => isAlive(core.board, member, clock.nowMs()))
      .length,
  [GaugeName.SettingsVersion]: ({ core }) =>
    core.board.settings.inForce?.version ?? 0,
};

/**
 * Makes all edges; none of them is started.
 *
 * @param parts What they are made from.
 * @returns The edges.
 */
export function makeEdges(parts: InstanceParts): InstanceEdges {
  const metrics = new Metrics({
    readGauge: (name) => GAUGE_READERS[name](parts, callers),
  });
  const tracing = makeTracing(parts);
  const context: EdgeContext = {
    clock: parts.clock,
    emit: parts.emit,
    log: parts.logger.write,
    count: metrics.count,
  };
  const callers = makeCallers(context, { parts, metrics, tracing });
  const platformHttp = makePlatformHttp(context, parts);
  return {
    metrics,
    tracing,
    callers,
    peers: makePeers(context, parts),
    targets: makeTargets(context, { parts, callers, tracing }),
    platformHttp,
    platform: makePlatform(context, { parts, http: platformHttp }),
  };
}

function makeTracing({ settings, clock }: InstanceParts): RequestTracing {
  if (settings.traces.export === TraceExport.Off) {
    return NO_TRACING;
  }
  return new SpanTracing({
    exporter: new ConsoleSpanExporter(),
    clock,
    clockZeroMs: Date.now() - clock.nowMs(),
    instanceId: settings.instanceId,
  });
}

function makeCallers(
  context: EdgeContext,
  options: {
    readonly parts: InstanceParts;
    readonly metrics: Metrics;
    readonly tracing: RequestTracing;
  },
): CallerFront {
  const { metrics, tracing } = options;
  const { settings, core, clock } = options.parts;
  const { limits, callers } = settings;
  const { board } = core;
  return new CallerFront(context, {
    ...callers,
    mintRequestId: randomUUID,
    tracing,
    limits: {
      maxBodyBytes: limits.maxBodyBytes,
      maxHeaderBytes: limits.maxHeaderBytes,
      maxOpenRequests: limits.maxOpenRequests,
      bodyTimeoutMs: limits.slowCallerMs,
      maxBufferedStreamBytes: limits.maxStreamBufferBytes,
    },
    reads: {
      readiness: () => readinessOf(board),
      requestState: (id) => requestStateOf(board, id),
      why: (id) => requestStoryOf(board, id),
      status: () => statusOf(board, clock.nowMs()),
      metrics: () => metrics.page(),
    },
  });
}

function makePeers(
  context: EdgeContext,
  { settings, incarnation }: InstanceParts,
): PeerLinks {
  return new PeerLinks(context, {
    identity: {
      instanceId: settings.instanceId,
      incarnation,
      failureDomain: settings.failureDomain,
    },
    secret: settings.peers.secret,
    host: settings.peers.host,
    port: settings.peers.port,
    random: Math.random,
  });
}

function makeTargets(
  context: EdgeContext,
  options: {
    readonly parts: InstanceParts;
    readonly callers: CallerFront;
    readonly tracing: RequestTracing;
  },
): TargetClient {
  const { callers, tracing } = options;
  const { settings, core } = options.parts;
  const bodyOf = (callId: string) => callers.bodyOf(callId);
  return new TargetClient(context, {
    limits: { maxConcurrentSends: settings.limits.maxDispatchesPerPool },
    dispatchInput: (requestId) =>
      dispatchInputOf(core.board, requestId, bodyOf),
    traceHeaders: (requestId): Readonly<Record<string, string>> => {
      const traceparent = tracing.traceparentOf(requestId);
      return traceparent === undefined ? {} : { traceparent };
    },
  });
}

function makePlatformHttp(
  context: EdgeContext,
  { settings: { platform } }: InstanceParts,
): PlatformHttp {
  return new PlatformHttp({
    address: platform.address,
    clock: context.clock,
    count: context.count,
    readsPerSecond: platform.maxReadsPerSecond,
    writesPerSecond: platform.maxWritesPerSecond,
    callTimeoutMs: platform.timeoutMs,
  });
}

function makePlatform(
  context: EdgeContext,
  options: { readonly parts: InstanceParts; readonly http: PlatformHttp },
): PlatformClient {
  const { requests } = options.parts.core.board;
  return new PlatformClient(context, {
    http: options.http,
    claimWaitMs: (requestId) =>
      requests.byId.get(requestId)?.policy.claimWaitMs ?? 0,
  });
}
