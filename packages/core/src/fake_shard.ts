/** Test support: one coordinator with fake holders and fake targets. */

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
import { type Randomness, seededRandomness } from "./randomness.ts";
import { SchedulerCore } from "./scheduler_core.ts";
import { TargetController } from "./target_controller.ts";
import { DEFAULT_TIMING } from "./timing.ts";

export const POOL = "msaidizi";
export const DOMAIN = "njiro-hall";
export const HOLDER = "entry-2";
const SELF = "entry-1";
const TICK_MS = 50;
const REPORT_MS = 500;

/** What a test sets of a target or a tier; the rest has defaults. */
export interface FakeOptions {
  readonly targets: readonly Partial<TargetSettings>[];
  readonly tiers?: readonly Partial<TierPolicy>[];
  /** Weights of workspaces, 1 by default. */
  readonly weights?: Readonly<Record<string, number>>;
  readonly kind?: TargetKind;
  /** Whether granted work is used, run and ended by itself. */
  readonly runsWork?: boolean;
  readonly affinity?: boolean;
}

interface Running {
  readonly work: RunningWork;
  readonly kvTokens: number;
  readonly endMs: number;
}

type Grant = PeerMessageOf<PeerMessageKind.Grant>;

/** Drives the target and the coordinator controller on a manual clock. */
export class FakeShard {
  readonly board: Blackboard;
  readonly controllers: readonly Controller[];
  readonly running = new Map<string, Running>();
  readonly sent: PeerMessage[] = [];
  /** Looks at every message to a holder, after the event that sent it. */
  onSent: (message: PeerMessage) => void = () => {};
  /** Load reports show the state of this long ago. */
  reportAgeMs = 0;
  /** Time from an order to cancel a stream to its end. */
  cancelMs = 0;
  holderIsSilent = false;
  nowMs = 0;
  #beat = 0;
  readonly #asked = new Map<string, AskDetail>();
  readonly #pastLoads = new Map<string, { atMs: number; load: TargetLoad }[]>();
  readonly #random: Randomness = seededRandomness(1);
  readonly #options: FakeOptions;

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
    this.step();
  }

  get shard(): Shard {
    return this.board.shards.byKey.get(shardKey(POOL, DOMAIN))!;
  }

  /** Requests granted so far, in order. */
  get grants(): Grant[] {
    return this.of(PeerMessageKind.Grant);
  }

  of<K extends PeerMessageKind>(kind: K): PeerMessageOf<K>[] {
    return this.sent.filter((each): each is PeerMessageOf<K> =>
      each.kind === kind
    );
  }

  handle(event: Record<string, unknown>): Effect[] {
    const turn = new Turn(this.board, {
      nowMs: this.nowMs,
      random: this.#random,
    });
    for (const controller of this.controllers) {
      const full = { ...event, nowMs: this.nowMs } as unknown as CoreEvent;
      runController(controller, full, turn);
    }
    const messages = turn.effects.flatMap((effect) =>
      effect.kind === EffectKind.SendPeer ? [effect.message] : []
    );
    this.sent.push(...messages);
    messages.forEach((message) => this.onSent(message));
    messages.forEach((message) => this.#react(message));
    return turn.effects;
  }

  hear(message: PeerMessage, fromId = HOLDER, fromIncarnation = 1): Effect[] {
    return this.handle({
      kind: EventKind.PeerMessageReceived,
      fromId,
      fromIncarnation,
      message,
    });
  }

  ask(detail: Partial<AskDetail> & { requestId: string }): Effect[] {
    const ask = { ...ASK, ...detail };
    this.#asked.set(ask.requestId, ask);
    return this.hear({
      kind: PeerMessageKind.Ask,
      failureDomain: DOMAIN,
      holderBeat: this.#beat,
      ask,
    });
  }

  report(
    fields: Partial<PeerMessageOf<PeerMessageKind.HolderReport>> = {},
  ): Effect[] {
    return this.hear({
      kind: PeerMessageKind.HolderReport,
      pool: POOL,
      failureDomain: DOMAIN,
      holderBeat: this.#beat,
      waitingRequestIds: [...this.shard?.waiting.keys() ?? []],
      running: [...this.running.values()].map(({ work }) => work),
      ...fields,
    });
  }

  /** Reports a load as it was, or with the given figures. */
  load(targetId: string, fields: Partial<TargetLoad> = {}): Effect[] {
    const past = this.#pastLoads.get(targetId)!;
    const asOfMs = Math.max(past[0].atMs, this.nowMs - this.reportAgeMs);
    const shown = past.findLast(({ atMs }) => atMs <= asOfMs)!.load;
    const load = { ...shown, ageMs: this.nowMs - asOfMs, ...fields };
    return this.handle({ kind: EventKind.LoadReported, load });
  }

  #rememberLoad(settings: TargetSettings): void {
    const here = [...this.running.values()]
      .filter(({ work }) => work.targetId === settings.id);
    const past = this.#pastLoads.get(settings.id) ?? [];
    this.#pastLoads.set(settings.id, past);
    past.push({
      atMs: this.nowMs,
      load: {
        targetId: settings.id,
        ageMs: 0,
        slotsUsed: here.length,
        slotsTotal: settings.slots,
        kvUsedTokens: here.reduce((sum, each) => sum + each.kvTokens, 0),
        kvTotalTokens: settings.kvTokens,
        waitingRequests: 0,
        leaving: false,
      },
    });
  }

  /** One tick, with the ends, reports and loads that are due. */
  step(): void {
    this.nowMs += TICK_MS;
    for (const [grantId, { endMs }] of [...this.running]) {
      if (endMs <= this.nowMs) {
        this.done(grantId);
      }
    }
    if (this.nowMs % 250 === 0) {
      this.#beat += 1;
    }
    if (this.nowMs % REPORT_MS === 0 && !this.holderIsSilent && this.shard) {
      this.report();
    }
    for (const target of this.board.settings.inForce!.targets.values()) {
      this.#rememberLoad(target);
      if (this.nowMs % 250 === 0 || this.nowMs === TICK_MS) {
        this.load(target.id);
      }
    }
    this.handle({ kind: EventKind.Tick });
  }

  advance(ms: number): void {
    for (const endMs = this.nowMs + ms; this.nowMs < endMs;) {
      this.step();
    }
  }

  done(
    grantId: string,
    fields: Partial<PeerMessageOf<PeerMessageKind.WorkDone>> = {},
  ): void {
    const grant = this.shard.grants.get(grantId);
    const work = this.running.get(grantId)?.work ?? grant?.work;
    this.running.delete(grantId);
    this.hear({
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

  use(grant: Grant): void {
    const { requestId, grantId } = grant;
    const account = this.shard.grants.get(grantId)!;
    this.running.set(grantId, {
      work: account.work,
      kvTokens: this.#asked.get(requestId)!.promptTokens,
      endMs: account.expectedEndMs,
    });
    this.hear({
      kind: PeerMessageKind.GrantUsed,
      requestId,
      grantId,
      pool: POOL,
      failureDomain: DOMAIN,
    });
  }

  #react(message: PeerMessage): void {
    if (this.#options.runsWork !== true) {
      return;
    }
    if (message.kind === PeerMessageKind.Grant) {
      this.use(message);
    } else if (message.kind === PeerMessageKind.Preempt) {
      const running = this.running.get(message.grantId)!;
      this.running.set(message.grantId, {
        ...running,
        endMs: Math.min(running.endMs, this.nowMs + this.cancelMs),
      });
    }
  }
}

const ASK: AskDetail = {
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

/** 0.1 ms a token of prompt, 10 ms a token of answer on an idle target. */
const TARGET: Omit<TargetSettings, "id"> = {
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

const POLICY: TierPolicy = {
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
    ...TARGET,
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
      return { ...POLICY, tier, rank, fairShareWeight, ...tiers[rank] };
    },
  };
}
