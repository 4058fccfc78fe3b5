/** Composition root of one entry instance, which routes requests to targets. */

import process from "node:process";
import { Agent } from "node:http";
import { connect } from "node:net";
import { setTimeout as pause } from "node:timers/promises";
import { Coordinator } from "@chestnuthatch/routing/coordinator";
import { ConfigurationAge } from "@chestnuthatch/routing/configuration_age";
import { UnreachableDomains } from "@chestnuthatch/routing/unreachable_domains";
import type { FleetConfiguration } from "@chestnuthatch/routing/fleet_configuration";
import type { MemberInfo } from "@chestnuthatch/routing/member_record";
import { MemberView } from "@chestnuthatch/routing/member_view";
import {
  MessageKind,
  type RoutingMessage,
} from "@chestnuthatch/routing/peer_messages";
import { RelayedTargets } from "@chestnuthatch/routing/relayed_targets";
import { Rollouts } from "@chestnuthatch/routing/rollouts";
import type { RoutingBoard } from "@chestnuthatch/routing/routing_board";
import { StreamOrigins } from "@chestnuthatch/routing/stream_origins";
import { VersionCoverage } from "@chestnuthatch/routing/version_coverage";
import { CrashSuspects } from "@chestnuthatch/routing/crash_suspects";
import { TargetDirectory } from "@chestnuthatch/routing/target_directory";
import { TargetHealth } from "@chestnuthatch/routing/target_health";
import { TargetLoads } from "@chestnuthatch/routing/target_loads";
import { TargetRateLimits } from "@chestnuthatch/routing/target_rate_limits";
import { LatencyModels } from "@chestnuthatch/routing/latency_models";
import { TargetBackoffs } from "@chestnuthatch/routing/target_backoffs";
import { AddressOpener, type Listener } from "./address_opener.ts";
import { AnswerMemory, createRequestMemory } from "./answer_memory.ts";
import { AnsweredParts } from "./answered_parts.ts";
import { AssigningRole } from "./assigning_role.ts";
import { CoordinatorMonitors } from "./coordinator_monitors.ts";
import { TargetSignalHandler } from "./target_signal_handler.ts";
import { EventLog, type LogFacts, LogPart } from "./event_log.ts";
import { FleetStateSync } from "./fleet_state_sync.ts";
import type { OpenConnections } from "./caller_connections.ts";
import { FrontServer } from "./front_server.ts";
import { GatewayMetrics } from "./gateway_metrics.ts";
import type { GatewayParts } from "./gateway_parts.ts";
import type { GatewaySettings } from "./gateway_settings.ts";
import { GracefulStop } from "./graceful_stop.ts";
import { hostPortOf } from "./host_port.ts";
import { EventLoopMonitor } from "./event_loop_monitor.ts";
import { type Heartbeat, HeartbeatExchange } from "./heartbeat_exchange.ts";
import { SnapshotServer } from "./snapshot_server.ts";
import { PeerSocket } from "./peer_socket.ts";
import { PlacementClient } from "./placement_client.ts";
import { ProcessMemoryMonitor } from "./process_memory_monitor.ts";
import { RelayServer } from "./relay_server.ts";
import { RetryBudgetHandover } from "./retry_budget_handover.ts";
import { RolloutController } from "./rollout_controller.ts";
import { runIsolated } from "./run_isolated.ts";
import type {
  CallProtocol,
  Clock,
  ConnectToTarget,
  PlatformPort,
} from "./ports.ts";
import { announcedAccountOf, SpendingRecorder } from "./spending_recorder.ts";
import { StatusServer } from "./status_server.ts";
import { StreamRecorder } from "./stream_recorder.ts";
import { SuspectRecorder } from "./suspect_recorder.ts";
import { TargetConnections } from "./target_connections.ts";
import { TargetProbes } from "./target_probes.ts";
import { TargetCleanup } from "./target_cleanup.ts";
import { TargetListConfirmation } from "./target_list_confirmation.ts";
import { TargetReachability } from "./target_reachability.ts";

/** Time between two ticks, which run all timeouts, while requests wait. */
const BUSY_TICK_MS = 20;

/** Maximum time between two ticks while idle: half a heartbeat interval. */
const IDLE_TICK_MS = 110;

/** Minimum delay of a tick that counts as a stall of the process. */
const MIN_STALL_MS = 400;

/**
 * Time for which a delay of the event loop counts as recent: what arrived
 * during the delay may be read only after the next tick.
 */
const RECENT_DELAY_MS = 250;

/** Ports of a gateway: the calls' protocol, the platform, and the network. */
export interface GatewayOptions {
  readonly protocol: CallProtocol;
  readonly platform: PlatformPort;
  readonly logOutput?: NodeJS.WritableStream;
  readonly clock?: Clock;
  /** Opens connections to targets; over TCP if absent. */
  readonly connectToTarget?: ConnectToTarget;
}

const MONOTONIC_CLOCK: Clock = { nowMs: () => performance.now() };

/** One entry instance, running within this process. */
export class Gateway {
  readonly board: RoutingBoard;
  #settings: GatewaySettings;
  readonly #platform: PlatformPort;
  readonly #clock: Clock;
  readonly #startedAtMs: number;
  readonly #log: EventLog;
  readonly #metrics = new GatewayMetrics();
  readonly #self: MemberInfo;
  readonly #socket: PeerSocket;
  readonly #snapshotServer: SnapshotServer;
  readonly #relayServer: RelayServer;
  /** Opens a connection for each request: a kept one might be stale. */
  readonly #relayAgent = new Agent();
  readonly #reachability: TargetReachability;
  readonly #connectToTarget: ConnectToTarget;
  readonly #connections: TargetConnections;
  readonly #coordinator: Coordinator;
  readonly #placementClient: PlacementClient;
  readonly #heartbeatExchange: HeartbeatExchange;
  readonly #fleetState: FleetStateSync;
  readonly #spending: SpendingRecorder;
  readonly #retryBudgets: RetryBudgetHandover;
  readonly #suspects: SuspectRecorder;
  readonly #streams: StreamRecorder;
  readonly #listConfirmation: TargetListConfirmation;
  readonly #rollouts: RolloutController;
  readonly #targetSignals: TargetSignalHandler;
  readonly #targetCleanup: TargetCleanup;
  readonly #front: FrontServer;
  readonly #status: StatusServer;
  readonly #eventLoopMonitor: EventLoopMonitor;
  readonly #monitors: CoordinatorMonitors;
  readonly #answerMemory = new AnswerMemory();
  readonly #requestMemory = createRequestMemory();
  readonly #memoryMonitor: ProcessMemoryMonitor;
  readonly #role: AssigningRole;
  #askCounter = 0;
  #isLeaving = false;
  #isClosed = false;
  /** Whether all addresses are open. */
  #isStarted = false;
  #tickTimer?: NodeJS.Timeout;
  /** Local time at which the next tick is due. */
  #tickDueMs = 0;
  /** Delay of the latest tick. */
  #lateMs = 0;
  /** Longest recent delay of a tick, and the local time until it is recent. */
  #recentDelay = { lateMs: 0, untilMs: -Infinity };
  #starting?: Promise<void>;
  #stopping?: Promise<void>;

  /**
   * @param settings Start settings.
   * @param options The calls' protocol, the platform, and optionally the log's
   * output and a clock.
   */
  constructor(settings: GatewaySettings, options: GatewayOptions) {
    this.#settings = settings;
    this.#platform = options.platform;
    this.#clock = options.clock ?? MONOTONIC_CLOCK;
    this.#startedAtMs = this.#clock.nowMs();
    this.#connectToTarget = options.connectToTarget ?? connect;
    this.#connections = new TargetConnections(this.#connectToTarget);
    const { instanceId, failureDomain, peerAddress } = settings;
    this.#log = new EventLog(this.#clock, instanceId, options.logOutput);
    this.#self = {
      instanceId,
      address: peerAddress,
      failureDomain,
      // Only ever compared with earlier starts of the same instance.
      incarnation: Date.now(),
      leaving: false,
      cores: settings.cores,
    };
    const members = new MemberView(this.#self);
    members.processes.limitWindowMs =
      settings.bounds.allotmentTolerance.windowMs;
    this.board = {
      configurationAge: new ConfigurationAge(),
      targets: new TargetDirectory(),
      members,
      unreachableDomains: new UnreachableDomains(members),
      health: new TargetHealth(),
      relayedTargets: new RelayedTargets(),
      rateLimits: new TargetRateLimits(),
      latencyModels: new LatencyModels(),
      targetLoads: new TargetLoads((report) =>
        this.#monitors.loadReported(report)
      ),
      backoffs: new TargetBackoffs(),
      streamOrigins: new StreamOrigins(),
      versionCoverage: new VersionCoverage(),
      suspects: new CrashSuspects(),
      rollouts: new Rollouts(settings.exposure),
    };
    this.#socket = new PeerSocket(this.#log, this.#metrics);
    this.#coordinator = new Coordinator(this.board, settings.bounds);
    this.#placementClient = new PlacementClient({
      board: this.board,
      coordinator: this.#coordinator,
      clock: this.#clock,
      log: this.#log,
      send: (member, message) => this.#socket.send(member.address, message),
      startedAtMs: this.#startedAtMs,
      spendingWindowMs: settings.bounds.allotmentTolerance.windowMs,
      onWaiting: () => this.#scheduleTick(BUSY_TICK_MS),
      onRefusedByHolder: (pool) => this.#metrics.askRefusedByHolder(pool),
      onAssigning: () => this.#role.beforeAssigning(),
    });
    this.#retryBudgets = new RetryBudgetHandover({
      board: this.board,
      coordinator: this.#coordinator,
      clock: this.#clock,
    });
    this.#spending = new SpendingRecorder({
      members,
      recorderId: `${instanceId}.${this.#self.incarnation}`,
      coordinator: this.#coordinator,
      platform: this.#platform,
      clock: this.#clock,
      log: this.#log,
      windowMs: settings.bounds.allotmentTolerance.windowMs,
    });
    this.#suspects = new SuspectRecorder({
      board: this.board,
      platform: this.#platform,
      clock: this.#clock,
      log: this.#log,
    });
    this.#streams = new StreamRecorder({
      board: this.board,
      coordinator: this.#coordinator,
      platform: this.#platform,
      clock: this.#clock,
      log: this.#log,
    });
    this.#listConfirmation = new TargetListConfirmation({
      board: this.board,
      coordinator: this.#coordinator,
      platform: this.#platform,
      clock: this.#clock,
      reachesStore: () => this.#fleetState.reachesStore,
      targetsLagMs: () => this.#fleetState.targetsLagMs(),
      onConfirmed: () => this.#scheduleTick(0),
    });
    this.#rollouts = new RolloutController({
      board: this.board,
      coordinator: this.#coordinator,
      platform: this.#platform,
      clock: this.#clock,
      log: this.#log,
      metrics: this.#metrics,
      reachesStore: () => this.#fleetState.reachesStore,
    });
    this.#role = new AssigningRole({
      board: this.board,
      coordinator: this.#coordinator,
      clock: this.#clock,
      log: this.#log,
      startedAtMs: this.#startedAtMs,
      accounts: [
        this.#spending,
        this.#retryBudgets,
        this.#streams,
        this.#rollouts,
      ],
      coordinatorId: () => this.#placementClient.coordinatorId,
      share: () => this.#placementClient.share,
    });
    this.#targetSignals = new TargetSignalHandler({
      board: this.board,
      clock: this.#clock,
      log: this.#log,
      metrics: this.#metrics,
      onLeaving: (targetId) => this.#fleetState.targetLeaving(targetId),
    });
    this.#fleetState = this.#createFleetState();
    this.#snapshotServer = new SnapshotServer((kind) =>
      this.#fleetState.snapshotOf(kind)
    );
    this.#relayServer = new RelayServer({
      board: this.board,
      requestMemory: this.#requestMemory,
      clock: this.#clock,
      log: this.#log,
      metrics: this.#metrics,
      isLeaving: () => this.#isLeaving,
      agentFor: (pool, address) => this.#agentFor(pool, address),
    });
    this.#reachability = new TargetReachability({
      board: this.board,
      clock: this.#clock,
      log: this.#log,
      metrics: this.#metrics,
      probes: new TargetProbes(this.#connectToTarget),
      connections: this.#connections,
      failureDomain,
      acceptsRelays: () => this.#relayServer.isAccepting,
      send: (member, message) => this.#socket.send(member.address, message),
    });
    this.#targetCleanup = new TargetCleanup({
      board: this.board,
      clock: this.#clock,
      coordinator: this.#coordinator,
      connections: this.#connections,
      reachability: this.#reachability,
    });
    this.#heartbeatExchange = this.#createHeartbeatExchange();
    this.#front = new FrontServer(this.#createParts(options.protocol));
    this.#eventLoopMonitor = new EventLoopMonitor({
      clock: this.#clock,
      log: this.#log,
      metrics: this.#metrics,
      busyMs: () => performance.eventLoopUtilization().active,
      loadFacts: () => this.#loadFacts(),
    });
    this.#memoryMonitor = new ProcessMemoryMonitor({
      answerMemory: this.#answerMemory,
      clock: this.#clock,
      log: this.#log,
      metrics: this.#metrics,
      read: () => process.memoryUsage(),
    });
    this.#monitors = new CoordinatorMonitors({
      board: this.board,
      coordinator: this.#coordinator,
      clock: this.#clock,
      log: this.#log,
      metrics: this.#metrics,
    });
    this.#status = new StatusServer({
      metrics: this.#metrics,
      isReady: () => this.isReady,
    });
  }

  /** Whether the instance can serve callers: configured, and not stopping. */
  get isReady(): boolean {
    return this.#fleetState.isComplete && !this.#isLeaving;
  }

  /** `ip:port` that callers connect to. */
  get callerAddress(): string {
    return this.#front.address;
  }

  /** Instance id of the coordinator that assigns requests to targets now. */
  get coordinatorId(): string {
    return this.#placementClient.coordinatorId;
  }

  /**
   * Applies a version of the configuration as if it came from the platform.
   *
   * @param configuration The configuration; ignored if it is older than the one
   * in force.
   */
  applyConfiguration(configuration: FleetConfiguration): void {
    this.#fleetState.configurationRead(configuration);
  }

  /**
   * Applies changed start settings. Bounds and the grace period change at once;
   * addresses and names stay until the process restarts.
   *
   * @param settings The new settings.
   */
  reload(settings: GatewaySettings): void {
    const { bounds, configurationApplyMs, exposure, graceMs } = settings;
    this.#settings = {
      ...this.#settings,
      bounds,
      configurationApplyMs,
      exposure,
      graceMs,
    };
    this.#coordinator.setBounds(bounds);
    this.board.rollouts.setBound(exposure);
    this.#log.info(LogPart.Process, "settings reloaded", { graceMs });
  }

  /**
   * Logs that changed start settings are invalid. The previous ones stay in
   * force.
   *
   * @param faults Descriptions of what is invalid.
   */
  logInvalidSettings(faults: readonly string[]): void {
    this.#log.warn(LogPart.Process, "changed settings are invalid", { faults });
  }

  /**
   * Logs an unhandled error. The process continues, as a restart would abort
   * the requests in progress.
   *
   * @param error The error.
   */
  logUnexpectedError(error: unknown): void {
    this.#metrics.unexpectedError();
    this.#log.warn(LogPart.Process, "unexpected error", {
      reason: reasonOf(error),
    });
    this.#log.flush();
  }

  /** Counts of callers' connections and their unfinished answers. */
  get callerConnections(): OpenConnections {
    return this.#front.connections;
  }

  /**
   * Logs that the graceful stop has failed, before the process ends.
   *
   * @param error The error.
   */
  logStopFailure(error: unknown): void {
    this.#log.warn(LogPart.Process, "stopping failed", {
      reason: reasonOf(error),
      ...this.#front.connections,
    });
    this.#log.flush();
  }

  /**
   * Opens all sockets, and starts to read from the platform. A stop meanwhile
   * ends the start.
   *
   * @returns A promise that is fulfilled when callers and peers can connect, or
   * the start was ended by a stop.
   */
  start(): Promise<void> {
    this.#starting = this.#start();
    return this.#starting;
  }

  async #start(): Promise<void> {
    const settings = this.#settings;
    const opener = new AddressOpener({
      clock: this.#clock,
      log: this.#log,
      graceMs: settings.graceMs,
      isStopped: () => this.#isLeaving || this.#isClosed,
      pause: (forMs) => pause(forMs),
    });
    try {
      if (!await opener.openAll(this.#listeners())) {
        return;
      }
    } catch (error) {
      this.#close();
      throw error;
    }
    this.#isStarted = true;
    this.#platform.start(this.#self, this.#fleetState);
    this.#scheduleTick(BUSY_TICK_MS);
    this.#log.info(LogPart.Process, "started", {
      callerAddress: settings.callerAddress,
      peerAddress: settings.peerAddress,
      failureDomain: settings.failureDomain,
      cores: settings.cores,
      sinceProcessStartMs: Math.round(performance.now()),
    });
  }

  /** All addresses, that for callers last: they can connect when all is open. */
  #listeners(): Listener[] {
    const { callerAddress, metricsAddress, peerAddress, ...settings } =
      this.#settings;
    const { host } = hostPortOf(peerAddress);
    const snapshotAddress = `${host}:${settings.snapshotPort}`;
    const relayAddress = `${host}:${settings.relayPort}`;
    return [
      {
        name: "peer messages",
        address: peerAddress,
        open: () => this.#openSocket(peerAddress),
      },
      {
        name: "snapshots",
        address: snapshotAddress,
        open: () => this.#snapshotServer.open(snapshotAddress),
      },
      {
        name: "relayed requests",
        address: relayAddress,
        open: () => this.#relayServer.open(relayAddress),
      },
      {
        name: "readiness",
        address: settings.statusAddress,
        open: () => this.#status.openReadiness(settings.statusAddress),
      },
      {
        name: "metrics",
        address: metricsAddress,
        isOptional: true,
        open: () => this.#status.openMetrics(metricsAddress),
      },
      {
        name: "callers",
        address: callerAddress,
        open: () => this.#front.open(callerAddress),
      },
    ];
  }

  /**
   * Messages that arrive during the start are dropped: an instance that cannot
   * serve callers yet neither becomes ready nor answers peers.
   */
  #openSocket(address: string): Promise<void> {
    return this.#socket.open(address, (message, from) => {
      if (this.#isStarted) {
        this.#eventLoopMonitor.runTask(
          message.kind,
          () => this.#handlePeerMessage(message, from),
        );
      }
    });
  }

  /**
   * Stops gracefully: ends readiness at once, finishes the requests in
   * progress, and aborts only those that outlast the grace period.
   *
   * @returns A promise that is fulfilled when everything is closed.
   */
  stop(): Promise<void> {
    this.#stopping ??= this.#isStarted ? this.#stop() : this.#stopStart();
    return this.#stopping;
  }

  /** Ends the start. The instance has no callers, and no peer knows of it. */
  async #stopStart(): Promise<void> {
    this.#isLeaving = true;
    // An address that is just being opened can only be closed afterwards.
    await this.#starting?.catch(() => {});
    this.#log.info(LogPart.Process, "stopped before the start was complete");
    this.#close();
  }

  async #stop(): Promise<void> {
    this.#isLeaving = true;
    runIsolated(() => this.#heartbeatExchange.announceLeaving());
    runIsolated(() => this.#platform.announceLeaving());
    await new GracefulStop({
      front: this.#front,
      relay: this.#relayServer,
      clock: this.#clock,
      log: this.#log,
      graceMs: () => this.#settings.graceMs,
      pause: (forMs) => pause(forMs),
    }, this.lateMs).run();
    this.#close();
  }

  /**
   * Delay of the event loop in milliseconds: that of the latest tick, or of the
   * next one if it is overdue by more.
   */
  get lateMs(): number {
    return Math.max(0, this.#lateMs, this.#clock.nowMs() - this.#tickDueMs);
  }

  /** Closes everything at once, as a killed process would; for tests. */
  kill(): void {
    this.#close();
    this.#front.kill();
  }

  #close(): void {
    if (this.#isClosed) {
      return;
    }
    this.#isClosed = true;
    clearTimeout(this.#tickTimer);
    this.#front.close();
    this.#platform.stop();
    this.#status.close();
    this.#snapshotServer.close();
    this.#relayServer.close();
    this.#relayAgent.destroy();
    this.#connections.close();
    this.#socket.close();
    this.#log.flush();
  }

  #handlePeerMessage(message: RoutingMessage, fromAddress: string): void {
    if (message.kind === MessageKind.Heartbeat) {
      this.#handleHeartbeat(message);
      return;
    }
    const fromId = this.board.members.idAt(fromAddress);
    if (message.kind === MessageKind.ReachQuery) {
      const member = this.board.members.get(fromId ?? "");
      if (member !== undefined) {
        void this.#reachability.answerQuery(message.targetId, member);
      }
      return;
    }
    if (message.kind === MessageKind.ReachReply) {
      const { targetId, isReached } = message;
      const reply = { memberId: fromId ?? "", isReached };
      this.#reachability.replyReceived(targetId, reply);
      return;
    }
    this.#placementClient.handleMessage(message, fromId);
  }

  /** Applies the parts of a heartbeat independently of each other. */
  #handleHeartbeat(heartbeat: Heartbeat): void {
    runIsolated(() => this.#heartbeatExchange.heartbeatReceived(heartbeat));
    const { admission = [], retries, streams } = heartbeat;
    const { instanceId } = heartbeat.from;
    const { coordinatorId } = this.#placementClient;
    if (instanceId === coordinatorId) {
      runIsolated(() =>
        this.#placementClient.waitsAnnounced(instanceId, admission)
      );
    }
    runIsolated(() => this.#receiveSpending(heartbeat));
    if (instanceId === coordinatorId && retries !== undefined) {
      runIsolated(() => this.#retryBudgets.reportReceived(instanceId, retries));
    }
    if (streams !== undefined) {
      runIsolated(() =>
        this.#coordinator.importStreams(streams, this.#clock.nowMs())
      );
    }
    runIsolated(() => this.#fleetState.heartbeatReceived(heartbeat));
  }

  /** Keeps the account of a sender that assigns requests for others. */
  #receiveSpending({ from, coordinatorId, ...account }: Heartbeat): void {
    const { instanceId } = from;
    const claimedId = coordinatorId ?? this.#placementClient.coordinatorId;
    if (claimedId === instanceId && account.spending !== undefined) {
      this.#spending.spendingReceived(instanceId, announcedAccountOf(account));
    }
  }

  /** Schedules the next tick within a time, unless the gateway is closed. */
  #scheduleTick(withinMs: number): void {
    const dueMs = this.#clock.nowMs() + withinMs;
    const isScheduled = this.#tickTimer !== undefined &&
      this.#tickDueMs <= dueMs;
    if (this.#isClosed || isScheduled) {
      return;
    }
    clearTimeout(this.#tickTimer);
    this.#tickDueMs = dueMs;
    this.#tickTimer = setTimeout(() => {
      this.#tickTimer = undefined;
      runIsolated(() => this.#tick());
      // In any case, also if the next line throws.
      this.#scheduleTick(IDLE_TICK_MS);
      runIsolated(() => this.#scheduleTick(this.#tickDelayMs()));
    }, withinMs);
  }

  /** Time until the next tick is needed. */
  #tickDelayMs(): number {
    const untilHeartbeatMs = this.#heartbeatExchange.untilHeartbeatMs(
      this.#clock.nowMs(),
    );
    return this.#placementClient.hasWaiting || this.#coordinator.awaitsStreams
      ? BUSY_TICK_MS
      : Math.min(IDLE_TICK_MS, Math.max(BUSY_TICK_MS, untilHeartbeatMs));
  }

  #tick(): void {
    const nowMs = this.#clock.nowMs();
    this.#lateMs = nowMs - this.#tickDueMs;
    const isLongest = this.#lateMs >= this.#recentDelay.lateMs;
    if (isLongest || nowMs >= this.#recentDelay.untilMs) {
      const untilMs = nowMs + RECENT_DELAY_MS;
      this.#recentDelay = { lateMs: this.#lateMs, untilMs };
    }
    runIsolated(() => this.#eventLoopMonitor.recordTimer(this.#lateMs));
    this.board.members.isLoaded = this.#eventLoopMonitor.isLoaded;
    if (this.#lateMs > MIN_STALL_MS) {
      runIsolated(() => this.#onStalled());
    }
    this.#eventLoopMonitor.runTask("tick", () => {
      runIsolated(() => this.#fleetState.tick());
      runIsolated(() => this.#heartbeatExchange.tick());
      runIsolated(() => this.#placementClient.tick());
    });
    runIsolated(() => this.#streams.tick());
    runIsolated(() => this.#listConfirmation.tick());
    runIsolated(() => this.#monitors.tick());
    runIsolated(() => this.#memoryMonitor.tick());
    runIsolated(() => this.#role.update());
    if (this.#role.isCoordinator) {
      this.#coordinate();
    }
  }

  /**
   * Holders have moved to another coordinator meanwhile. Their reports will
   * restore what is still open.
   */
  #onStalled(): void {
    this.#log.warn(LogPart.Process, "process was stalled", {
      lateMs: Math.round(this.#lateMs),
    });
    this.#coordinator.clearAsks();
    this.#role.stalled();
  }

  /** Runs the periodic work of the coordinator. */
  #coordinate(): void {
    runIsolated(() => this.#spending.record());
    runIsolated(() => this.#suspects.record());
    runIsolated(() => this.#streams.record());
    runIsolated(() =>
      this.#rollouts.tick(
        this.board.members.shares.reachable(this.#clock.nowMs()),
      )
    );
  }

  /** Requests of this instance, and asks of all holders at this coordinator. */
  #loadFacts(): LogFacts {
    const pools = this.#coordinator.load();
    return {
      open: this.#front.openCount,
      coordinatorId: this.#placementClient.coordinatorId,
      waiting: pools.reduce((sum, { waiting }) => sum + waiting, 0),
      placed: pools.reduce((sum, { placed }) => sum + placed, 0),
    };
  }

  #createParts(protocol: CallProtocol): GatewayParts {
    const { instanceId, failureDomain } = this.#settings;
    const prefix = `${instanceId}.${this.#self.incarnation.toString(36)}`;
    return {
      board: this.board,
      answerMemory: this.#answerMemory,
      requestMemory: this.#requestMemory,
      answeredParts: new AnsweredParts(),
      clock: this.#clock,
      log: this.#log,
      metrics: this.#metrics,
      placementClient: this.#placementClient,
      protocol,
      reachability: this.#reachability,
      targetSignals: this.#targetSignals,
      onPlacedAtLeavingTarget: (targetId) =>
        this.#fleetState.targetLeaving(targetId),
      failureDomain,
      lateMs: () => this.#recentDelay.lateMs,
      nextAskId: () => `${prefix}.${(this.#askCounter++).toString(36)}`,
      agentFor: (pool, address) => this.#agentFor(pool, address),
      relayAgent: this.#relayAgent,
      relayPort: this.#settings.relayPort,
    };
  }

  #agentFor(pool: string, address: string): Agent {
    return this.#connections.agent(address, {
      maxConnections: this.board.routes?.pool(pool)?.maxConnections ?? 1,
      instances: this.board.members.aliveCount(this.#clock.nowMs()),
    });
  }

  #createFleetState(): FleetStateSync {
    return new FleetStateSync({
      board: this.board,
      clock: this.#clock,
      log: this.#log,
      metrics: this.#metrics,
      snapshotPort: this.#settings.snapshotPort,
      configurationApplyMs: () => this.#settings.configurationApplyMs,
      rollouts: this.#rollouts,
      followsStore: () => this.#shouldFollowStore(),
      onTargetsChanged: (changes) => this.#targetCleanup.applyChanges(changes),
      onConfigurationChanged: (configuration) =>
        this.#applyLimits(configuration),
      onSpendingRead: (row) => this.#spending.rowRead(row),
      onSuspectsReceived: (updates) => this.#suspects.suspectsReceived(updates),
      onStreamsRead: (record, ageMs) => this.#streams.restore(record, ageMs),
      onStreamRecordRead: (of) => this.#streams.recordRead(of),
      onChangesMissed: () => this.#streams.changesMissed(),
      onRateLimitsReceived: (updates) =>
        this.#targetSignals.rateLimitsReceived(updates),
      // The cause of one silent connection may affect others.
      onConnectionStalled: () => this.#connections.closeAllIdle(),
      onStoreRestored: () => {
        this.#spending.invalidateRecord();
        this.#suspects.invalidateRecord();
        this.#streams.invalidateRecord();
      },
    });
  }

  #createHeartbeatExchange(): HeartbeatExchange {
    return new HeartbeatExchange({
      board: this.board,
      clock: this.#clock,
      log: this.#log,
      seedAddresses: this.#settings.seedAddresses,
      send: (addresses, message) => this.#socket.sendAll(addresses, message),
      coordinatorId: () => this.#placementClient.coordinatorId,
      uptimeMs: () => this.#clock.nowMs() - this.#startedAtMs,
      reachesStore: () => this.#fleetState.reachesStore,
      spending: () =>
        this.#role.isCoordinator
          ? this.#coordinator.announcedSpending(this.#clock.nowMs())
          : undefined,
      retries: () =>
        this.#role.isCoordinator
          ? this.#coordinator.retryHistories(this.#clock.nowMs())
          : [],
      suspects: () =>
        this.#role.isCoordinator
          ? this.board.suspects.updatesToSend(this.#clock.nowMs())
          : [],
      admission: () =>
        this.#role.isCoordinator
          ? this.#coordinator.admissionForecasts(this.#clock.nowMs())
          : [],
      streams: (withinMs) =>
        this.#role.isCoordinator ? this.#streams.recent(withinMs) : [],
      rollouts: (of) =>
        this.board.rollouts.updatesToSend(this.#clock.nowMs(), of),
      rateLimits: (of) =>
        this.board.rateLimits.updatesToSend(this.#clock.nowMs(), of),
      targetChanges: () => this.#fleetState.recentTargetChanges(),
    }, this.#self);
  }

  /** True on the coordinator, and on all while it does not reach the store. */
  #shouldFollowStore(): boolean {
    const { coordinatorId } = this.#placementClient;
    return coordinatorId === this.#self.instanceId ||
      !this.#heartbeatExchange.reachesStore(coordinatorId);
  }

  #applyLimits(configuration: FleetConfiguration): void {
    this.#front.setLimits(configuration.limits);
  }
}

function reasonOf(error: unknown): string | undefined {
  return error instanceof Error ? error.stack : String(error);
}
