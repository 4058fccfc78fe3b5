/** One entry instance that routes requests: its parts, wired together. */

import { setTimeout as pause } from "node:timers/promises";
import { Coordinator } from "@chestnuthatch/routing/coordinator";
import { ConfigurationAge } from "@chestnuthatch/routing/configuration_age";
import { CutDomains } from "@chestnuthatch/routing/cut_domains";
import type { FleetConfiguration } from "@chestnuthatch/routing/fleet_configuration";
import {
  type MemberNews,
  MemberView,
} from "@chestnuthatch/routing/member_view";
import {
  MessageKind,
  type RoutingMessage,
} from "@chestnuthatch/routing/peer_messages";
import { Rollouts } from "@chestnuthatch/routing/rollouts";
import type { RoutingBoard } from "@chestnuthatch/routing/routing_board";
import { roundedUp } from "@chestnuthatch/routing/spending_log";
import { SuspectRequests } from "@chestnuthatch/routing/suspect_requests";
import { TargetDirectory } from "@chestnuthatch/routing/target_directory";
import { TargetHealth } from "@chestnuthatch/routing/target_health";
import { TargetRateLimits } from "@chestnuthatch/routing/target_rate_limits";
import { TargetPaces } from "@chestnuthatch/routing/target_paces";
import { TargetBackoffs } from "@chestnuthatch/routing/target_backoffs";
import { TargetSignalHandler } from "./target_signal_handler.ts";
import { EventLog, type LogFacts, LogPart } from "./event_log.ts";
import { FleetStateSync } from "./fleet_state_sync.ts";
import { FrontServer } from "./front_server.ts";
import { GatewayMetrics } from "./gateway_metrics.ts";
import type { GatewayParts } from "./gateway_parts.ts";
import type { GatewaySettings } from "./gateway_settings.ts";
import { GracefulStop } from "./graceful_stop.ts";
import { hostPortOf } from "./host_port.ts";
import { LoopWatch } from "./loop_watch.ts";
import { HeartbeatExchange } from "./heartbeat_exchange.ts";
import { SnapshotServer } from "./snapshot_server.ts";
import { PeerSocket } from "./peer_socket.ts";
import { PlacementDesk } from "./placement_desk.ts";
import { RolloutController } from "./rollout_controller.ts";
import type { CallProtocol, Clock, PlatformPort } from "./ports.ts";
import { SpendingRecorder } from "./spending_recorder.ts";
import { StatusServer } from "./status_server.ts";
import { SuspectRecorder } from "./suspect_recorder.ts";
import { TargetConnections } from "./target_connections.ts";
import { TargetProbes } from "./target_probes.ts";
import { TargetUpkeep } from "./target_upkeep.ts";

/** Time between two looks at what depends on time, while requests wait. */
const TICK_MS = 20;

/** The same while nothing waits: half of the time between two heartbeats. */
const RESTING_TICK_MS = 110;

/** A tick this late means that the process stood still. */
const PAUSE_MS = 400;

/** What a gateway is made of beside its settings. */
export interface GatewayOptions {
  readonly protocol: CallProtocol;
  readonly platform: PlatformPort;
  readonly logOutput?: NodeJS.WritableStream;
  readonly clock?: Clock;
}

const MONOTONIC_CLOCK: Clock = { nowMs: () => performance.now() };

/** Runs one entry instance within this process. */
export class Gateway {
  readonly board: RoutingBoard;
  #settings: GatewaySettings;
  readonly #platform: PlatformPort;
  readonly #clock: Clock;
  readonly #startedAtMs: number;
  readonly #log: EventLog;
  readonly #metrics = new GatewayMetrics();
  readonly #self: MemberNews;
  readonly #socket: PeerSocket;
  readonly #catalog: SnapshotServer;
  readonly #connections = new TargetConnections();
  readonly #coordinator: Coordinator;
  readonly #desk: PlacementDesk;
  readonly #membership: HeartbeatExchange;
  readonly #news: FleetStateSync;
  readonly #spending: SpendingRecorder;
  readonly #suspects: SuspectRecorder;
  readonly #rollouts: RolloutController;
  readonly #targetSignals: TargetSignalHandler;
  readonly #upkeep: TargetUpkeep;
  readonly #front: FrontServer;
  readonly #status: StatusServer;
  readonly #loop: LoopWatch;
  #askCounter = 0;
  #leaving = false;
  #closed = false;
  #tickTimer?: NodeJS.Timeout;
  /** When the next tick is due. */
  #tickDueMs = 0;
  /** By how much the latest tick was late. */
  #lateMs = 0;
  #wasCoordinator = false;
  #stopping?: Promise<void>;

  /**
   * @param settings Start settings.
   * @param options How calls look and where the platform is.
   */
  constructor(settings: GatewaySettings, options: GatewayOptions) {
    this.#settings = settings;
    this.#platform = options.platform;
    this.#clock = options.clock ?? MONOTONIC_CLOCK;
    this.#startedAtMs = this.#clock.nowMs();
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
    this.board = {
      configurationAge: new ConfigurationAge(),
      targets: new TargetDirectory(),
      members,
      cutDomains: new CutDomains(members),
      health: new TargetHealth(),
      rateLimits: new TargetRateLimits(),
      paces: new TargetPaces(),
      backoffs: new TargetBackoffs(),
      suspects: new SuspectRequests(),
      rollouts: new Rollouts(settings.exposure),
    };
    this.#socket = new PeerSocket(this.#log, this.#metrics);
    this.#coordinator = new Coordinator(this.board, settings.bounds);
    this.#desk = new PlacementDesk({
      board: this.board,
      coordinator: this.#coordinator,
      clock: this.#clock,
      log: this.#log,
      send: (member, message) => this.#socket.send(member.address, message),
      startedAtMs: this.#startedAtMs,
      spendingWindowMs: settings.bounds.allotmentTolerance.windowMs,
      onWaiting: () => this.#tickWithin(TICK_MS),
      onStandIn: (share) => this.#spending.becameActingCoordinator(share),
    });
    this.#spending = new SpendingRecorder({
      board: this.board,
      coordinator: this.#coordinator,
      platform: this.#platform,
      clock: this.#clock,
      log: this.#log,
    });
    this.#suspects = new SuspectRecorder({
      board: this.board,
      platform: this.#platform,
      clock: this.#clock,
      log: this.#log,
    });
    this.#rollouts = new RolloutController({
      board: this.board,
      coordinator: this.#coordinator,
      platform: this.#platform,
      clock: this.#clock,
      log: this.#log,
      metrics: this.#metrics,
      reachesStore: () => this.#news.reachesStore,
    });
    this.#upkeep = new TargetUpkeep({
      board: this.board,
      clock: this.#clock,
      coordinator: this.#coordinator,
      connections: this.#connections,
    });
    this.#targetSignals = new TargetSignalHandler({
      board: this.board,
      clock: this.#clock,
      log: this.#log,
      metrics: this.#metrics,
      onLeaving: (targetId) => this.#news.targetLeaving(targetId),
    });
    this.#news = this.#makeNews();
    this.#catalog = new SnapshotServer((item) => this.#news.snapshotOf(item));
    this.#membership = this.#makeMembership();
    this.#front = new FrontServer(this.#makeParts(options.protocol));
    this.#loop = new LoopWatch({
      clock: this.#clock,
      log: this.#log,
      metrics: this.#metrics,
      busyMs: () => performance.eventLoopUtilization().active,
      load: () => this.#load(),
    });
    this.#status = new StatusServer({
      metrics: this.#metrics,
      isReady: () => this.isReady,
    });
  }

  /** Whether callers may be sent here. */
  get isReady(): boolean {
    return this.#news.isComplete && !this.#leaving;
  }

  /** `ip:port` that callers connect to. */
  get callerAddress(): string {
    return this.#front.address;
  }

  /** The instance that gives places to requests now. */
  get coordinatorId(): string {
    return this.#desk.coordinatorId;
  }

  /**
   * Takes in a version of the configuration, as from the platform.
   *
   * @param configuration The version; an older one than that in force is
   * ignored.
   */
  takeConfiguration(configuration: FleetConfiguration): void {
    this.#news.configurationRead(configuration);
  }

  /**
   * Takes in changed start settings. Bounds and the grace time change at once;
   * addresses and names are those of the process until it starts again.
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
    this.#log.info(LogPart.Process, "reloaded", { graceMs });
  }

  /** @param faults Why changed start settings cannot be used. */
  cannotReload(faults: readonly string[]): void {
    this.#log.warn(LogPart.Process, "settings not usable", { faults });
  }

  /**
   * Tells of an error that nothing handled. The process goes on: the requests in
   * progress are worth more than a clean start.
   *
   * @param error The error.
   */
  unexpected(error: unknown): void {
    this.#log.warn(LogPart.Process, "unexpected error", {
      reason: reasonOf(error),
    });
    this.#log.flush();
  }

  /**
   * Tells that stopping has failed, before the process ends.
   *
   * @param error The error.
   */
  cannotStop(error: unknown): void {
    this.#log.warn(LogPart.Process, "stopping failed", {
      reason: reasonOf(error),
      ...this.#front.connections,
    });
    this.#log.flush();
  }

  /** @returns Once callers and peers can connect. */
  async start(): Promise<void> {
    const settings = this.#settings;
    const { host } = hostPortOf(settings.peerAddress);
    await this.#socket.open(settings.peerAddress, (message, from) => {
      this.#loop.run(message.kind, () => this.#heard(message, from));
    });
    await this.#catalog.open(`${host}:${settings.catalogPort}`);
    await this.#status.open(settings.statusAddress, settings.metricsAddress);
    await this.#front.open(settings.callerAddress);
    this.#platform.start(this.#self, this.#news);
    this.#tickWithin(TICK_MS);
    this.#log.info(LogPart.Process, "started", {
      callerAddress: settings.callerAddress,
      peerAddress: settings.peerAddress,
      failureDomain: settings.failureDomain,
      cores: settings.cores,
      sinceProcessStartMs: Math.round(performance.now()),
    });
  }

  /**
   * Ends gracefully: no longer ready at once, then every request in progress is
   * finished, and only what outlasts the grace time is broken off.
   *
   * @returns Once all is closed.
   */
  stop(): Promise<void> {
    this.#stopping ??= this.#stop();
    return this.#stopping;
  }

  async #stop(): Promise<void> {
    this.#leaving = true;
    this.#membership.announceLeaving();
    await new GracefulStop({
      front: this.#front,
      clock: this.#clock,
      log: this.#log,
      graceMs: () => this.#settings.graceMs,
      pause: (forMs) => pause(forMs),
    }, this.lateMs).run();
    this.#close();
  }

  /** By how much this process is late, its next tick included. */
  get lateMs(): number {
    return Math.max(0, this.#lateMs, this.#clock.nowMs() - this.#tickDueMs);
  }

  /** Ends at once, as a killed process would; for tests. */
  kill(): void {
    this.#close();
    this.#front.kill();
  }

  #close(): void {
    if (this.#closed) {
      return;
    }
    this.#closed = true;
    clearTimeout(this.#tickTimer);
    this.#front.close();
    this.#platform.stop();
    this.#status.close();
    this.#catalog.close();
    this.#connections.close();
    this.#socket.close();
    this.#log.flush();
  }

  #heard(message: RoutingMessage, fromAddress: string): void {
    if (message.kind === MessageKind.Beat) {
      this.#membership.heartbeatReceived(message);
      const isCoordinator =
        message.from.instanceId === this.#desk.coordinatorId;
      if (isCoordinator && message.spending !== undefined) {
        this.#spending.received(message.spending);
      }
      this.#news.heartbeatReceived(message);
      return;
    }
    this.#desk.heard(message, this.board.members.idAt(fromAddress));
  }

  /** Sees to it that a tick is due within a time, unless the process ends. */
  #tickWithin(withinMs: number): void {
    const dueMs = this.#clock.nowMs() + withinMs;
    const isDue = this.#tickTimer !== undefined && this.#tickDueMs <= dueMs;
    if (this.#closed || isDue) {
      return;
    }
    clearTimeout(this.#tickTimer);
    this.#tickDueMs = dueMs;
    this.#tickTimer = setTimeout(() => {
      this.#tickTimer = undefined;
      this.#tick();
      this.#tickWithin(this.#restMs());
    }, withinMs);
  }

  /** Time for which nothing has to be looked at. */
  #restMs(): number {
    const beatMs = this.#membership.untilHeartbeatMs(this.#clock.nowMs());
    return this.#desk.hasWaiting
      ? TICK_MS
      : Math.min(RESTING_TICK_MS, Math.max(TICK_MS, beatMs));
  }

  #tick(): void {
    const nowMs = this.#clock.nowMs();
    this.#lateMs = nowMs - this.#tickDueMs;
    this.#loop.timerFired(this.#lateMs);
    this.board.members.isLoaded = this.#loop.isLoaded;
    if (this.#lateMs > PAUSE_MS) {
      // Holders went elsewhere meanwhile; their reports tell what is left.
      this.#log.warn(LogPart.Process, "process stood still", {
        lateMs: Math.round(this.#lateMs),
      });
      this.#coordinator.forgetAll();
    }
    this.board.members.remembers(
      this.#self.instanceId,
      nowMs - this.#startedAtMs,
      nowMs,
    );
    this.#loop.run("tick", () => {
      this.#news.tick();
      this.#membership.tick();
      this.#desk.tick();
    });
    this.#noteCoordinator();
  }

  /** What there is to do, here and for other instances. */
  #load(): LogFacts {
    const pools = this.#coordinator.load();
    return {
      open: this.#front.openCount,
      coordinatorId: this.#desk.coordinatorId,
      waiting: pools.reduce((sum, { waiting }) => sum + waiting, 0),
      placed: pools.reduce((sum, { placed }) => sum + placed, 0),
    };
  }

  #noteCoordinator(): void {
    const isCoordinator = this.#desk.coordinatorId === this.#self.instanceId;
    if (isCoordinator !== this.#wasCoordinator) {
      this.#wasCoordinator = isCoordinator;
      if (isCoordinator) {
        this.#spending.becameCoordinator();
        this.#rollouts.becameCoordinator();
      }
      this.#log.info(LogPart.Placement, "coordinator changed", {
        coordinatorId: this.#desk.coordinatorId,
        alive: this.board.members.alive(this.#clock.nowMs()).length,
      });
    }
    if (isCoordinator) {
      void this.#spending.record();
      this.#suspects.record();
      this.#rollouts.tick(this.board.members.heardShare(this.#clock.nowMs()));
    }
  }

  #makeParts(protocol: CallProtocol): GatewayParts {
    const { instanceId, failureDomain } = this.#settings;
    const prefix = `${instanceId}.${this.#self.incarnation.toString(36)}`;
    return {
      board: this.board,
      clock: this.#clock,
      log: this.#log,
      metrics: this.#metrics,
      desk: this.#desk,
      protocol,
      probes: new TargetProbes(),
      targetSignals: this.#targetSignals,
      onPlacedAtLeaving: (targetId) => this.#news.targetLeaving(targetId),
      failureDomain,
      lateMs: () => this.#lateMs,
      nextAskId: () => `${prefix}.${(this.#askCounter++).toString(36)}`,
      agentFor: (pool, address) =>
        this.#connections.agent(address, {
          maxConnections: this.board.routes?.pool(pool)?.maxConnections ?? 1,
          instances: this.board.members.alive(this.#clock.nowMs()).length,
        }),
    };
  }

  #makeNews(): FleetStateSync {
    return new FleetStateSync({
      board: this.board,
      clock: this.#clock,
      log: this.#log,
      metrics: this.#metrics,
      snapshotPort: this.#settings.catalogPort,
      configurationApplyMs: () => this.#settings.configurationApplyMs,
      rollouts: this.#rollouts,
      followsStore: () => this.#followsStore(),
      onTargetsChanged: (beliefs) => this.#upkeep.changed(beliefs),
      onConfigurationChanged: (configuration) =>
        this.#configured(configuration),
      onSpendingRead: (record, ageMs) =>
        this.#spending.restoreRecord(record, ageMs),
      onSuspectsReceived: (news) => this.#suspects.received(news),
      onRateLimitsReceived: (news) =>
        this.#targetSignals.rateLimitsReceived(news),
      // What silenced one connection may have silenced others.
      onConnectionStalled: () => this.#connections.dropAllIdle(),
      onStoreRestored: () => {
        this.#coordinator.recordAnew();
        this.#suspects.recordAgain();
      },
    });
  }

  #makeMembership(): HeartbeatExchange {
    return new HeartbeatExchange({
      board: this.board,
      clock: this.#clock,
      log: this.#log,
      seedAddresses: this.#settings.seedAddresses,
      send: (addresses, message) => this.#socket.sendAll(addresses, message),
      coordinatorId: () => this.#desk.coordinatorId,
      memoryMs: () => this.#clock.nowMs() - this.#startedAtMs,
      reachesStore: () => this.#news.reachesStore,
      spending: () =>
        this.#wasCoordinator
          ? this.#coordinator.muchSpent(this.#clock.nowMs()).map(roundedUp)
          : [],
      suspects: () =>
        this.#wasCoordinator
          ? this.board.suspects.toTell(this.#clock.nowMs())
          : [],
      rollouts: () => this.board.rollouts.toTell(this.#clock.nowMs()),
      rateLimits: (of) => this.board.rateLimits.toTell(this.#clock.nowMs(), of),
      targetNews: () => this.#news.targetNews(),
    }, this.#self);
  }

  /** The coordinator does, and everyone while it does not reach the store. */
  #followsStore(): boolean {
    const { coordinatorId } = this.#desk;
    return coordinatorId === this.#self.instanceId ||
      !this.#membership.reachesStore(coordinatorId);
  }

  #configured(configuration: FleetConfiguration): void {
    this.#front.setLimits(configuration.limits);
  }
}

function reasonOf(error: unknown): string | undefined {
  return error instanceof Error ? error.stack : String(error);
}
