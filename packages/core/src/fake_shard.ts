/** Test support: one coordinator with a fake holder and fake targets. */

import type {
  SettingsInForce,
  TargetSettings,
  TierPolicy,
} from "@chestnuthatch/settings/settings_types";
import {
  type AskDetail,
  type PeerMessage,
  PeerMessageKind,
  type PeerMessageOf,
  type RunningWork,
} from "@chestnuthatch/wire/peer_messages";
import { TargetKind, type TargetLoad } from "@chestnuthatch/wire/shared_types";
import { type Blackboard, type Shard, shardKey } from "./blackboard.ts";
import { type Controller, runController, Turn } from "./controller.ts";
import { CoordinatorController } from "./coordinator_controller.ts";
import { type Effect, EffectKind } from "./effects.ts";
import { type CoreEvent, EventKind } from "./events.ts";
import { type RandomSource, seededRandomSource } from "./random_source.ts";
import { SchedulerCore } from "./scheduler_core.ts";
import { TargetController } from "./target_controller.ts";
import { DEFAULT_TIMING } from "./timing.ts";

/** Name of the pool of the fake shard. */
export const POOL = "msaidizi";
/** Failure domain of the fake shard and of its coordinator. */
export const DOMAIN = "njiro-hall";
/** Instance id of the fake holder. */
export const HOLDER = "entry-2";
const SELF = "entry-1";
const TICK_MS = 50;
const REPORT_MS = 500;

/** The settings that a test overrides; all others have defaults. */
export interface FakeOptions {
  /** Settings of each target; their ids are `t0`, `t1` and so on. */
  readonly targets: readonly Partial<TargetSettings>[];
  /** Policies of the tiers, the highest tier first; three tiers by default. */
  readonly tiers?: readonly Partial<TierPolicy>[];
  /** Fair-share weights by workspace, 1 by default. */
  readonly weights?: Readonly<Record<string, number>>;
  /** Kind of the pool's targets, engines by default. */
  readonly kind?: TargetKind;
  /** Whether grants are used and their work run to its end automatically. */
  readonly runsWork?: boolean;
  /** Whether cached prompt prefixes count in predictions, true by default. */
  readonly affinity?: boolean;
}

/** Work that runs on a fake target. */
interface RunningGrant {
  readonly work: RunningWork;
  readonly kvTokens: number;
  readonly endAtMs: number;
}

type Grant = PeerMessageOf<PeerMessageKind.Grant>;

/**
 * Runs the target and the coordinator controller of one instance on a manual
 * clock, against a fake holder and fake targets.
 */
export class FakeShard {
  readonly board: Blackboard;
  readonly controllers: readonly Controller[];
  /** Work that runs on the fake targets, by grant id. */
  readonly running = new Map<string, RunningGrant>();
  /** All messages sent so far, in order. */
  readonly sent: PeerMessage[] = [];
  /** Called with every message that was sent, after the event's handlers. */
  onSent: (message: PeerMessage) => void = () => {};
  /** Age of the state that load reports show. */
  reportAgeMs = 0;
  /** Time from a `Preempt` message to the end of its stream. */
  cancelMs = 0;
  /** Whether the holder sends no reports. */
  holderIsSilent = false;
  nowMs = 0;
  #beat = 0;
  readonly #askDetails = new Map<string, AskDetail>();
  readonly #loadHistory = new Map<
    string,
    { atMs: number; load: TargetLoad }[]
  >();
  readonly #random: RandomSource = seededRandomSource(1);
  readonly #options: FakeOptions;

  /** @param options The settings of the targets and tiers. */
  constructor(options: FakeOptions) {
    this.#options = options;
    this.board = new SchedulerCore({
      instanceId: SELF,
      incarnation: 1,
      failureDomain: DOMAIN,
      region: "arusha",
      seedPeers: [],
      random: this.#random,
    }).board;
    this.board.settings.inForce = settingsOf(options);
    const policy = { affinity: options.affinity ?? true };
    this.controllers = [
      new TargetController(policy),
      new CoordinatorController(policy),
    ];
    this.tick();
  }

  /** The coordinator's shard; undefined before the first ask or report. */
  get shard(): Shard {
    return this.board.shards.byKey.get(shardKey(POOL, DOMAIN))!;
  }

  /** All grants sent so far, in order. */
  get grants(): Grant[] {
    return this.of(PeerMessageKind.Grant);
  }

  /**
   * Filters the sent messages by kind.
   *
   * @param kind The kind of message.
   * @returns All messages of the kind sent so far, in order.
   */
  of<K extends PeerMessageKind>(kind: K): PeerMessageOf<K>[] {
    return this.sent.filter((each): each is PeerMessageOf<K> =>
      each.kind === kind
    );
  }

  /**
   * Passes an event to the controllers, and executes the messages they send.
   *
   * @param event The event without its time.
   * @returns The effects of the event.
   */
  handle(event: Record<string, unknown>): Effect[] {
    const turn = new Turn(this.board, {
      nowMs: this.nowMs,
      random: this.#random,
    });
    for (const controller of this.controllers) {
      const fullEvent = { ...event, nowMs: this.nowMs } as unknown as CoreEvent;
      runController(controller, fullEvent, turn);
    }
    const messages = turn.effects.flatMap((effect) =>
      effect.kind === EffectKind.SendPeer ? [effect.message] : []
    );
    this.sent.push(...messages);
    messages.forEach((message) => this.onSent(message));
    messages.forEach((message) => this.#executeMessage(message));
    return turn.effects;
  }

  /**
   * Passes a peer message to the controllers.
   *
   * @param message The message.
   * @param fromId Instance id of the sender, the fake holder by default.
   * @param fromIncarnation Incarnation of the sender.
   * @returns The effects of the event.
   */
  receive(
    message: PeerMessage,
    fromId = HOLDER,
    fromIncarnation = 1,
  ): Effect[] {
    return this.handle({
      kind: EventKind.PeerMessageReceived,
      fromId,
      fromIncarnation,
      message,
    });
  }

  /**
   * Sends an ask of the fake holder to the coordinator.
   *
   * @param detail The request id, and fields that replace the defaults.
   * @returns The effects of the event.
   */
  ask(detail: Partial<AskDetail> & { requestId: string }): Effect[] {
    const ask = { ...DEFAULT_ASK, ...detail };
    this.#askDetails.set(ask.requestId, ask);
    return this.receive({
      kind: PeerMessageKind.Ask,
      failureDomain: DOMAIN,
      holderBeat: this.#beat,
      ask,
    });
  }

  /**
   * Sends a report of the fake holder to the coordinator.
   *
   * @param fields Fields that replace the holder's actual state.
   * @returns The effects of the event.
   */
  reportHolder(
    fields: Partial<PeerMessageOf<PeerMessageKind.HolderReport>> = {},
  ): Effect[] {
    return this.receive({
      kind: PeerMessageKind.HolderReport,
      pool: POOL,
      failureDomain: DOMAIN,
      holderBeat: this.#beat,
      waitingRequestIds: [...this.shard?.waiting.keys() ?? []],
      running: [...this.running.values()].map(({ work }) => work),
      ...fields,
    });
  }

  /**
   * Reports a target's load as it was {@link FakeShard.reportAgeMs} ago.
   *
   * @param targetId Id of the target.
   * @param fields Figures that replace those of the fake target.
   * @returns The effects of the event.
   */
  reportLoad(targetId: string, fields: Partial<TargetLoad> = {}): Effect[] {
    const history = this.#loadHistory.get(targetId)!;
    const asOfMs = Math.max(history[0].atMs, this.nowMs - this.reportAgeMs);
    const reported = history.findLast(({ atMs }) => atMs <= asOfMs)!.load;
    const load = { ...reported, ageMs: this.nowMs - asOfMs, ...fields };
    return this.handle({ kind: EventKind.LoadReported, load });
  }

  #recordLoad(settings: TargetSettings): void {
    const onTarget = [...this.running.values()]
      .filter(({ work }) => work.targetId === settings.id);
    const history = this.#loadHistory.get(settings.id) ?? [];
    this.#loadHistory.set(settings.id, history);
    history.push({
      atMs: this.nowMs,
      load: {
        targetId: settings.id,
        ageMs: 0,
        slotsUsed: onTarget.length,
        slotsTotal: settings.slots,
        kvUsedTokens: onTarget.reduce((sum, each) => sum + each.kvTokens, 0),
        kvTotalTokens: settings.kvTokens,
        waitingRequests: 0,
        leaving: false,
      },
    });
  }

  /** Advances the clock by one tick, with all ends and reports that are due. */
  tick(): void {
    this.nowMs += TICK_MS;
    for (const [grantId, { endAtMs }] of [...this.running]) {
      if (endAtMs <= this.nowMs) {
        this.endWork(grantId);
      }
    }
    if (this.nowMs % 250 === 0) {
      this.#beat += 1;
    }
    if (this.nowMs % REPORT_MS === 0 && !this.holderIsSilent && this.shard) {
      this.reportHolder();
    }
    for (const target of this.board.settings.inForce!.targets.values()) {
      this.#recordLoad(target);
      if (this.nowMs % 250 === 0 || this.nowMs === TICK_MS) {
        this.reportLoad(target.id);
      }
    }
    this.handle({ kind: EventKind.Tick });
  }

  /**
   * Advances the clock tick by tick.
   *
   * @param ms The duration in milliseconds.
   */
  advance(ms: number): void {
    for (const endMs = this.nowMs + ms; this.nowMs < endMs;) {
      this.tick();
    }
  }

  /**
   * Ends the work of a grant, and reports its end to the coordinator.
   *
   * @param grantId Id of the grant.
   * @param fields Fields of the report that replace the defaults.
   */
  endWork(
    grantId: string,
    fields: Partial<PeerMessageOf<PeerMessageKind.WorkDone>> = {},
  ): void {
    const grant = this.shard.grants.get(grantId);
    const work = this.running.get(grantId)?.work ?? grant?.work;
    this.running.delete(grantId);
    this.receive({
      kind: PeerMessageKind.WorkDone,
      requestId: work?.requestId ?? "",
      grantId,
      pool: POOL,
      failureDomain: DOMAIN,
      targetId: work?.targetId ?? "",
      failed: false,
      promptTokens: work?.promptTokens ?? 0,
      cachedTokens: 0,
      outputTokens: 0,
      firstTokenMs: 0,
      decodeMs: 0,
      blockHashes: [],
      ...fields,
    });
  }

  /**
   * Starts the work of a grant on its target, and reports its use to the
   * coordinator.
   *
   * @param grant The grant as it was sent.
   */
  useGrant(grant: Grant): void {
    const { requestId, grantId } = grant;
    const recorded = this.shard.grants.get(grantId)!;
    this.running.set(grantId, {
      work: recorded.work,
      kvTokens: this.#askDetails.get(requestId)!.promptTokens,
      endAtMs: recorded.expectedEndMs,
    });
    this.receive({
      kind: PeerMessageKind.GrantUsed,
      requestId,
      grantId,
      pool: POOL,
      failureDomain: DOMAIN,
    });
  }

  #executeMessage(message: PeerMessage): void {
    if (this.#options.runsWork !== true) {
      return;
    }
    if (message.kind === PeerMessageKind.Grant) {
      this.useGrant(message);
    } else if (message.kind === PeerMessageKind.Preempt) {
      const running = this.running.get(message.grantId)!;
      this.running.set(message.grantId, {
        ...running,
        endAtMs: Math.min(running.endAtMs, this.nowMs + this.cancelMs),
      });
    }
  }
}

const DEFAULT_ASK: AskDetail = {
  requestId: "",
  askNumber: 1,
  pool: POOL,
  workspace: "fields",
  tierRank: 0,
  value: 1,
  promptTokens: 100,
  expectedOutputTokens: 100,
  maxOutputTokens: 100,
  timeLeftMs: 20_000,
  cancellable: true,
  excludedTargetIds: [],
  blockHashes: [],
  spreadOver: 1,
  spreadIndex: 0,
};

/** Idle targets take 0.1 ms per prompt token and 10 ms per output token. */
const DEFAULT_TARGET: Omit<TargetSettings, "id"> = {
  pool: POOL,
  failureDomain: DOMAIN,
  address: "127.0.1.1:80",
  slots: 2,
  kvTokens: 10_000,
  hardware: "a",
  checksFencing: true,
  prefillTokensPerSecond: 10_000,
  decodeTokensPerSecond: 100,
  callMs: 0,
  draining: false,
};

const DEFAULT_POLICY: TierPolicy = {
  tier: "",
  rank: 0,
  value: 1,
  deadlineMs: 20_000,
  maxDeadlineMs: 60_000,
  maxOutputTokens: 100,
  expectedOutputTokens: 100,
  headroomShare: 0,
  fairShareWeight: 1,
  maxRequestsPerSecond: 1000,
  maxOpenRequests: 1000,
  claimWaitMs: 1000,
  retryAfterMs: 500,
  preemptible: true,
};

function settingsOf(options: FakeOptions): SettingsInForce {
  const tiers = options.tiers ?? [{}, {}, {}];
  const targets = options.targets.map((each, index) => ({
    ...DEFAULT_TARGET,
    id: `t${index}`,
    ...each,
  }));
  return {
    version: 1,
    regionOfDomain: new Map([[DOMAIN, "arusha"]]),
    pools: new Map([[POOL, {
      name: POOL,
      kind: options.kind ?? TargetKind.Engine,
      model: "m",
      contextTokens: 100_000,
      idempotentByDefault: true,
    }]]),
    targets: new Map(targets.map((each) => [each.id, each])),
    workspaces: new Set(["fields"]),
    tiers: tiers.map((_, rank) => `tier-${rank}`),
    drainingInstances: new Set(),
    timing: { ...DEFAULT_TIMING, loadPollMs: 250, holderReportMs: REPORT_MS },
    policyFor: ({ tier, workspace }) => {
      const rank = Number(tier.slice("tier-".length));
      const fairShareWeight = options.weights?.[workspace] ?? 1;
      return { ...DEFAULT_POLICY, tier, rank, fairShareWeight, ...tiers[rank] };
    },
  };
}
