/**
 * Runs several cores on one manual clock and carries their messages, with
 * delays, losses, cut links and paused or killed instances. Each instance has a
 * clock of its own, so that no time of one means anything to another.
 */

import { type Effect, EffectKind } from "@chestnuthatch/core/effects";
import { type CoreEvent, EventKind } from "@chestnuthatch/core/events";
import type {
  PeerMessage,
  PeerMessageKind,
} from "@chestnuthatch/wire/peer_messages";
import {
  type RandomSource,
  seededRandomSource,
} from "@chestnuthatch/core/random_source";
import type { SeedPeer } from "@chestnuthatch/core/membership_controller";
import { SchedulerCore } from "@chestnuthatch/core/scheduler_core";
import { ManualClock } from "./manual_clock.ts";

type WithoutTime<T> = T extends unknown ? Omit<T, "nowMs"> : never;

/** An event before the net stamps it with the instance's time. */
export type UntimedEvent = WithoutTime<CoreEvent>;

/** One instance to run. */
export interface NetInstance {
  readonly instanceId: string;
  readonly failureDomain: string;
  readonly region: string;
}

/** An effect, with who ordered it and when on the net's clock. */
export interface NetEffect {
  readonly atMs: number;
  readonly instanceId: string;
  readonly effect: Effect;
}

/** How to run the cores. */
export interface CoreNetOptions {
  readonly instances: readonly NetInstance[];
  readonly seed: number;
  /** Given to every instance at its start, as version 1. */
  readonly settingsYaml?: string;
  /** One-way delay of a message. */
  readonly delayMs?: number;
  /** Share (0 to 1) of messages that are lost, and that come twice. */
  readonly dropShare?: number;
  readonly duplicateShare?: number;
  /** Time after which a cut link's connections are found broken. */
  readonly brokenLinkMs?: number;
  /** Told of every effect, after the net has acted on it. */
  readonly onEffect?: (effect: NetEffect, net: CoreNet) => void;
}

/** A message to lose. */
export interface LostMessage {
  readonly fromId: string;
  readonly toId: string;
  readonly kind: PeerMessageKind;
}

interface NetNode extends NetInstance {
  readonly index: number;
  readonly clockOffsetMs: number;
  readonly effects: NetEffect[];
  readonly dialled: Set<string>;
  readonly connected: Set<string>;
  incarnation: number;
  core: SchedulerCore;
  running: boolean;
  paused: boolean;
  /** What came while it was paused. */
  inbox: UntimedEvent[];
}

const TICK_MS = 50;
const TICK_PHASE_MS = 7;
const REDIAL_MS = 200;
const CLOCK_STEP_MS = 100_000;
const DEFAULT_DELAY_MS = 1;
const DEFAULT_BROKEN_LINK_MS = 3000;
const SEEDS_PER_INSTANCE = 1000;
const FIRST_CHANGE_ID = "change-1";

/** A fleet of cores on one manual clock. */
export class CoreNet {
  readonly #options: CoreNetOptions;
  readonly #clock = new ManualClock();
  readonly #random: RandomSource;
  readonly #nodes = new Map<string, NetNode>();
  readonly #cuts = new Set<string>();
  readonly #toLose: LostMessage[] = [];

  /** @param options How to run the cores. */
  constructor(options: CoreNetOptions) {
    this.#options = options;
    this.#random = seededRandomSource(options.seed);
    options.instances.forEach((instance, index) => {
      const node = this.#makeNode(instance, index);
      this.#nodes.set(instance.instanceId, node);
      this.#tickLater(node, index * TICK_PHASE_MS % TICK_MS);
    });
    this.#redialLater();
    for (const node of this.#nodes.values()) this.#start(node);
  }

  /** @returns The net's time, in milliseconds from 0. */
  get nowMs(): number {
    return this.#clock.nowMs;
  }

  /** @returns The ids of all instances. */
  get instanceIds(): string[] {
    return [...this.#nodes.keys()];
  }

  /**
   * Runs for a while.
   *
   * @param ms How long.
   */
  advance(ms: number): void {
    this.#clock.advance(ms);
  }

  /**
   * Gives access to an instance's blackboard.
   *
   * @param id The instance.
   * @returns Its present core.
   */
  core(id: string): SchedulerCore {
    return this.#node(id).core;
  }

  /**
   * Tells the time on an instance's own clock.
   *
   * @param id The instance.
   * @returns Milliseconds, as its events carry them.
   */
  localNowMs(id: string): number {
    return this.nowMs + this.#node(id).clockOffsetMs;
  }

  /**
   * Tells what an instance has ordered.
   *
   * @param id The instance.
   * @returns Its effects since the net was made, oldest first.
   */
  effects(id: string): readonly NetEffect[] {
    return this.#node(id).effects;
  }

  /**
   * Hands an instance an event; one that is paused gets it when it wakes.
   *
   * @param id The instance.
   * @param event The event.
   */
  send(id: string, event: UntimedEvent): void {
    this.#deliver(this.#node(id), event);
  }

  /**
   * Runs something later.
   *
   * @param delayMs From now.
   * @param action What to run.
   */
  later(delayMs: number, action: () => void): void {
    this.#clock.later(delayMs, action);
  }

  /** @param id The instance to stop for a while, its connections kept. */
  pause(id: string): void {
    this.#node(id).paused = true;
  }

  /**
   * Wakes an instance; its timers run before its messages, or after them.
   *
   * @param id The instance.
   * @param messagesFirst Whether it gets what waited before its first tick.
   */
  resume(id: string, messagesFirst = false): void {
    const node = this.#node(id);
    node.paused = false;
    const missed = node.inbox;
    node.inbox = [];
    if (!messagesFirst) this.#deliver(node, { kind: EventKind.Tick });
    for (const event of missed) this.#deliver(node, event);
    if (messagesFirst) this.#deliver(node, { kind: EventKind.Tick });
  }

  /**
   * Cuts links; messages on them are lost without a sign.
   *
   * @param a An instance or a failure domain.
   * @param b Another.
   */
  cut(a: string, b: string): void {
    for (const link of this.#links(a, b)) {
      this.#cuts.add(link.key);
      this.later(
        this.#options.brokenLinkMs ?? DEFAULT_BROKEN_LINK_MS,
        () => this.#breakIfCut(link),
      );
    }
  }

  /**
   * Mends links; lost connections are dialled again.
   *
   * @param a An instance or a failure domain.
   * @param b Another.
   */
  heal(a: string, b: string): void {
    for (const link of this.#links(a, b)) this.#cuts.delete(link.key);
  }

  /**
   * Loses the next message of a kind between two instances.
   *
   * @param message Its sender, its receiver and its kind.
   */
  loseNext(message: LostMessage): void {
    this.#toLose.push(message);
  }

  /** @param id The instance whose process dies. */
  kill(id: string): void {
    const node = this.#node(id);
    node.running = false;
    node.paused = false;
    node.inbox = [];
    node.dialled.clear();
    for (const peerId of [...node.connected]) this.#disconnect(node, peerId);
  }

  /** @param id The instance to start anew, with a higher incarnation. */
  restart(id: string): void {
    const node = this.#node(id);
    this.kill(id);
    node.incarnation += 1;
    node.core = this.#makeCore(node);
    this.#start(node);
  }

  #node(id: string): NetNode {
    const node = this.#nodes.get(id);
    if (node === undefined) throw new Error(`no instance ${id}`);
    return node;
  }

  #makeNode(instance: NetInstance, index: number): NetNode {
    const base = { ...instance, index, incarnation: 1 };
    return {
      ...base,
      clockOffsetMs: CLOCK_STEP_MS * (index + 1),
      effects: [],
      dialled: new Set(),
      connected: new Set(),
      core: this.#makeCore(base),
      running: false,
      paused: false,
      inbox: [],
    };
  }

  #makeCore(
    node: NetInstance & { index: number; incarnation: number },
  ): SchedulerCore {
    const { instanceId, failureDomain, region, index, incarnation } = node;
    const seedPeers: SeedPeer[] = this.#options.instances
      .filter((one) => one.instanceId !== instanceId)
      .map((one) => ({
        instanceId: one.instanceId,
        failureDomain: one.failureDomain,
        address: `${one.instanceId}:7000`,
      }));
    const seed = this.#options.seed + index * SEEDS_PER_INSTANCE + incarnation;
    const random = seededRandomSource(seed);
    return new SchedulerCore({
      instanceId,
      failureDomain,
      region,
      incarnation,
      seedPeers,
      random,
    });
  }

  #start(node: NetNode): void {
    node.running = true;
    const { settingsYaml } = this.#options;
    if (settingsYaml !== undefined) {
      this.#deliver(node, {
        kind: EventKind.SettingsRead,
        version: 1,
        content: settingsYaml,
        changeId: FIRST_CHANGE_ID,
      });
    }
  }

  #tickLater(node: NetNode, delayMs: number): void {
    this.later(delayMs, () => {
      if (!node.paused) this.#deliver(node, { kind: EventKind.Tick });
      this.#tickLater(node, TICK_MS);
    });
  }

  #deliver(node: NetNode, event: UntimedEvent): void {
    if (!node.running) return;
    if (node.paused) {
      node.inbox.push(event);
      return;
    }
    const nowMs = this.nowMs + node.clockOffsetMs;
    for (const effect of node.core.handle({ ...event, nowMs })) {
      this.#act(node, effect);
    }
  }

  #act(node: NetNode, effect: Effect): void {
    const { instanceId } = node;
    const logged: NetEffect = { atMs: this.nowMs, instanceId, effect };
    node.effects.push(logged);
    switch (effect.kind) {
      case EffectKind.SendPeer:
        this.#carry(node, effect.peerId, effect.message);
        break;
      case EffectKind.ConnectPeer:
        node.dialled.add(effect.peerId);
        this.#connect(node, effect.peerId);
        break;
      case EffectKind.DisconnectPeer:
        node.dialled.delete(effect.peerId);
        this.#disconnect(node, effect.peerId);
        break;
    }
    this.#options.onEffect?.(logged, this);
  }

  #carry(from: NetNode, peerId: string, message: PeerMessage): void {
    if (!from.connected.has(peerId)) return;
    if (this.#isLost(from.instanceId, peerId, message)) return;
    const { dropShare = 0, duplicateShare = 0 } = this.#options;
    if (this.#random.next() < dropShare) return;
    const copies = this.#random.next() < duplicateShare ? 2 : 1;
    const to = this.#node(peerId);
    const toIncarnation = to.incarnation;
    const fromIncarnation = from.incarnation;
    for (let copy = 0; copy < copies; copy++) {
      this.later(this.#delayMs(), () => {
        if (this.#isCut(from, to) || to.incarnation !== toIncarnation) return;
        this.#deliver(to, {
          kind: EventKind.PeerMessageReceived,
          fromId: from.instanceId,
          fromIncarnation,
          message,
        });
      });
    }
  }

  #isLost(fromId: string, toId: string, { kind }: PeerMessage): boolean {
    const index = this.#toLose.findIndex((lost) =>
      lost.fromId === fromId && lost.toId === toId && lost.kind === kind
    );
    if (index < 0) return false;
    this.#toLose.splice(index, 1);
    return true;
  }

  #delayMs(): number {
    return this.#options.delayMs ?? DEFAULT_DELAY_MS;
  }

  #isCut(a: NetNode, b: NetNode): boolean {
    return this.#cuts.has(linkKey(a, b));
  }

  #links(a: string, b: string): Link[] {
    const named = (name: string) =>
      [...this.#nodes.values()].filter((node) =>
        node.instanceId === name || node.failureDomain === name
      );
    return named(a).flatMap((one) =>
      named(b).filter((other) => other !== one)
        .map((other) => ({ key: linkKey(one, other), ends: [one, other] }))
    );
  }

  #breakIfCut({ key, ends: [a, b] }: Link): void {
    if (this.#cuts.has(key)) this.#disconnect(a, b.instanceId);
  }

  #redialLater(): void {
    this.later(REDIAL_MS, () => {
      for (const node of this.#nodes.values()) {
        for (const peerId of node.dialled) this.#connect(node, peerId);
      }
      this.#redialLater();
    });
  }

  #connect(node: NetNode, peerId: string): void {
    const peer = this.#nodes.get(peerId);
    if (
      peer === undefined || !peer.running || !node.running || node.paused ||
      node.connected.has(peerId) || this.#isCut(node, peer)
    ) {
      return;
    }
    node.connected.add(peerId);
    peer.connected.add(node.instanceId);
    this.#tellBoth(node, peer, EventKind.PeerConnected);
  }

  #disconnect(node: NetNode, peerId: string): void {
    const peer = this.#nodes.get(peerId);
    if (peer === undefined || !node.connected.delete(peerId)) return;
    peer.connected.delete(node.instanceId);
    this.#tellBoth(node, peer, EventKind.PeerDisconnected);
  }

  #tellBoth(
    a: NetNode,
    b: NetNode,
    kind: EventKind.PeerConnected | EventKind.PeerDisconnected,
  ): void {
    for (const [node, peer] of [[a, b], [b, a]]) {
      const { incarnation } = node;
      this.later(this.#delayMs(), () => {
        if (node.incarnation === incarnation) {
          this.#deliver(node, { kind, peerId: peer.instanceId });
        }
      });
    }
  }
}

interface Link {
  readonly key: string;
  readonly ends: readonly [NetNode, NetNode];
}

function linkKey(a: NetNode, b: NetNode): string {
  return [a.instanceId, b.instanceId].sort().join("|");
}
