/** Creates the edges of an entry instance and connects them to each other. */

import { randomUUID } from "node:crypto";
import { isAlive } from "@chestnuthatch/core/coordinators";
import { readinessOf } from "@chestnuthatch/core/readiness";
import type { SchedulerCore } from "@chestnuthatch/core/scheduler_core";
import { statusOf } from "@chestnuthatch/core/status";
import { ConsoleSpanExporter } from "@opentelemetry/sdk-trace-base";
import { CallerEdge } from "./caller_edge.ts";
import { createDispatchInput } from "./dispatch_input.ts";
import type { Logger } from "./logger.ts";
import { GaugeName, Metrics } from "./metrics.ts";
import { PeerLinks } from "./peer_links.ts";
import { PlatformClient } from "./platform_client.ts";
import { PlatformHttp } from "./platform_http.ts";
import type { Clock, EdgeContext, EventSink } from "./ports.ts";
import { describeRequest, explainKnownRequest } from "./request_lookups.ts";
import {
  NO_OP_REQUEST_TRACER,
  type RequestTracer,
  SpanRequestTracer,
} from "./request_tracer.ts";
import { type StartSettings, TraceExport } from "./start_settings.ts";
import { TargetClient } from "./target_client.ts";

/** Objects and settings that the edges are created from. */
export interface EdgeDependencies {
  readonly settings: StartSettings;
  /** Number of this start of the instance; a later start has a higher one. */
  readonly incarnation: number;
  readonly core: SchedulerCore;
  readonly clock: Clock;
  readonly logger: Logger;
  /** Receives the events of all edges. */
  readonly emit: EventSink;
}

/** Edges of an instance, with its metrics and tracer. */
export interface InstanceEdges {
  readonly metrics: Metrics;
  readonly tracer: RequestTracer;
  readonly callers: CallerEdge;
  readonly peers: PeerLinks;
  readonly targets: TargetClient;
  readonly platformHttp: PlatformHttp;
  readonly platform: PlatformClient;
}

const GAUGE_READERS: Readonly<
  Record<
    GaugeName,
    (dependencies: EdgeDependencies, callers: CallerEdge) => number
  >
> = {
  [GaugeName.OpenRequests]: (_dependencies, callers) => callers.openRequests,
  [GaugeName.LiveMembers]: ({ core, clock }) =>
    [...core.board.members.byId.values()]
      .filter((member) => isAlive(core.board, member, clock.nowMs()))
      .length,
  [GaugeName.SettingsVersion]: ({ core }) =>
    core.board.settings.inForce?.version ?? 0,
};

/**
 * Creates all edges without starting them.
 *
 * @param dependencies Settings, core, clock, logger and event sink.
 * @returns The edges.
 */
export function createEdges(dependencies: EdgeDependencies): InstanceEdges {
  const metrics = new Metrics({
    readGauge: (name) => GAUGE_READERS[name](dependencies, callers),
  });
  const tracer = createTracer(dependencies);
  const context: EdgeContext = {
    clock: dependencies.clock,
    emit: dependencies.emit,
    log: dependencies.logger.write,
    count: metrics.count,
  };
  const callers = createCallerEdge(context, { dependencies, metrics, tracer });
  const platformHttp = createPlatformHttp(context, dependencies);
  return {
    metrics,
    tracer,
    callers,
    peers: createPeerLinks(context, dependencies),
    targets: createTargetClient(context, { dependencies, callers, tracer }),
    platformHttp,
    platform: createPlatformClient(context, {
      dependencies,
      http: platformHttp,
    }),
  };
}

function createTracer({ settings, clock }: EdgeDependencies): RequestTracer {
  if (settings.traces.export === TraceExport.Off) {
    return NO_OP_REQUEST_TRACER;
  }
  return new SpanRequestTracer({
    exporter: new ConsoleSpanExporter(),
    clock,
    clockOriginMs: Date.now() - clock.nowMs(),
    instanceId: settings.instanceId,
  });
}

function createCallerEdge(
  context: EdgeContext,
  options: {
    readonly dependencies: EdgeDependencies;
    readonly metrics: Metrics;
    readonly tracer: RequestTracer;
  },
): CallerEdge {
  const { metrics, tracer } = options;
  const { settings, core, clock } = options.dependencies;
  const { limits, callers } = settings;
  const { board } = core;
  return new CallerEdge(context, {
    ...callers,
    generateRequestId: randomUUID,
    tracer,
    limits: {
      maxBodyBytes: limits.maxBodyBytes,
      maxHeaderBytes: limits.maxHeaderBytes,
      maxOpenRequests: limits.maxOpenRequests,
      bodyTimeoutMs: limits.slowCallerMs,
      maxBufferedStreamBytes: limits.maxStreamBufferBytes,
    },
    reader: {
      readiness: () => readinessOf(board),
      requestState: (id) => describeRequest(board, id),
      why: (id) => explainKnownRequest(board, id),
      status: () => statusOf(board, clock.nowMs()),
      metrics: () => metrics.page(),
    },
  });
}

function createPeerLinks(
  context: EdgeContext,
  { settings, incarnation }: EdgeDependencies,
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

function createTargetClient(
  context: EdgeContext,
  options: {
    readonly dependencies: EdgeDependencies;
    readonly callers: CallerEdge;
    readonly tracer: RequestTracer;
  },
): TargetClient {
  const { callers, tracer } = options;
  const { settings, core } = options.dependencies;
  const bodyOf = (callId: string) => callers.findBody(callId);
  return new TargetClient(context, {
    limits: { maxConcurrentSends: settings.limits.maxDispatchesPerPool },
    dispatchInput: (requestId) =>
      createDispatchInput(core.board, requestId, bodyOf),
    traceHeaders: (requestId): Readonly<Record<string, string>> => {
      const traceparent = tracer.currentTraceparent(requestId);
      return traceparent === undefined ? {} : { traceparent };
    },
  });
}

function createPlatformHttp(
  context: EdgeContext,
  { settings: { platform } }: EdgeDependencies,
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

function createPlatformClient(
  context: EdgeContext,
  options: {
    readonly dependencies: EdgeDependencies;
    readonly http: PlatformHttp;
  },
): PlatformClient {
  const { requests } = options.dependencies.core.board;
  return new PlatformClient(context, {
    http: options.http,
    claimWaitMs: (requestId) =>
      requests.byId.get(requestId)?.policy.claimWaitMs ?? 0,
  });
}
