/**
 * A simulated fleet: scheduler cores on one manual clock, with a network that
 * delays, drops and duplicates their messages, cuts links, and pauses or kills
 * instances. The local clocks of the instances differ by fixed offsets, so that
 * a core which compares its own time with a time of another core fails a test.
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

/** An event without the local time, which the fleet sets on delivery. */
export type UntimedEvent = WithoutTime<CoreEvent>;

/** Identity and location of one simulated instance. */
export interface SimulatedInstance {
  readonly instanceId: string;
  readonly failureDomain: string;
  readonly region: string;
}

/** An effect, the instance that issued it, and the fleet's time of issue. */
export interface IssuedEffect {
  readonly atMs: number;
  readonly instanceId: string;
  readonly effect: Effect;
}

/** Instances, settings and network conditions of a simulated fleet. */
export interface SimulatedFleetOptions {
  readonly instances: readonly SimulatedInstance[];
  /** Seed of all random decisions of the network and the cores. */
  readonly seed: number;
  /** Settings that every instance reads at its start, as version 1. */
  readonly settingsYaml?: string;
  /** One-way delay of a message; 1 ms where absent. */
  readonly delayMs?: number;
  /** Share (0 to 1) of messages that are dropped; 0 where absent. */
  readonly dropShare?: number;
  /** Share (0 to 1) of messages that are delivered twice; 0 where absent. */
  readonly duplicateShare?: number;
  /** Time from a link cut to the loss of its connection; 3 s where absent. */
  readonly brokenLinkTimeoutMs?: number;
  /** Called with every effect after the fleet has applied it. */
  readonly onEffect?: (effect: IssuedEffect, fleet: SimulatedFleet) => void;
}

/** Selects the next message of a kind between two instances, to drop it. */
export interface MessageSelector {
  readonly fromId: string;
  readonly toId: string;
  readonly kind: PeerMessageKind;
}

/** State of one simulated instance. */
interface SimulatedNode extends SimulatedInstance {
  readonly index: number;
  /** Difference between the instance's local clock and the fleet's clock. */
  readonly clockOffsetMs: number;
  readonly effects: IssuedEffect[];
  /** Ids of the peers that the core wants a connection to. */
  readonly dialled: Set<string>;
  /** Ids of the peers with an open connection. */
  readonly connected: Set<string>;
  incarnation: number;
  core: SchedulerCore;
  running: boolean;
  paused: boolean;
  /** Events that arrived while the instance was paused, oldest first. */
  pendingEvents: UntimedEvent[];
}

const TICK_MS = 50;
const TICK_PHASE_MS = 7;
const REDIAL_MS = 200;
const CLOCK_OFFSET_STEP_MS = 100_000;
const DEFAULT_DELAY_MS = 1;
const DEFAULT_BROKEN_LINK_TIMEOUT_MS = 3000;
const SEEDS_PER_INSTANCE = 1000;
const FIRST_CHANGE_ID = "change-1";

/** Scheduler cores that share a manual clock and a simulated network. */
export class SimulatedFleet {
  readonly #options: SimulatedFleetOptions;
  readonly #clock = new ManualClock();
  readonly #random: RandomSource;
  readonly #nodes = new Map<string, SimulatedNode>();
  readonly #cutLinks = new Set<string>();
  readonly #messagesToDrop: MessageSelector[] = [];

  /** @param options Instances, settings and network conditions. */
  constructor(options: SimulatedFleetOptions) {
    this.#options = options;
    this.#random = seededRandomSource(options.seed);
    options.instances.forEach((instance, index) => {
      const node = this.#makeNode(instance, index);
      this.#nodes.set(instance.instanceId, node);
      this.#scheduleTick(node, index * TICK_PHASE_MS % TICK_MS);
    });
    this.#scheduleRedial();
    for (const node of this.#nodes.values()) this.#start(node);
  }

  /** @returns Time on the fleet's clock, in milliseconds from 0. */
  get nowMs(): number {
    return this.#clock.nowMs;
  }

  /** @returns The ids of all instances. */
  get instanceIds(): string[] {
    return [...this.#nodes.keys()];
  }

  /**
   * Advances the clock and runs every action that falls due.
   *
   * @param ms Time to advance by, in milliseconds.
   */
  advance(ms: number): void {
    this.#clock.advance(ms);
  }

  /**
   * Returns the scheduler core of an instance.
   *
   * @param id Id of the instance.
   * @returns The core of its current incarnation.
   */
  core(id: string): SchedulerCore {
    return this.#node(id).core;
  }

  /**
   * Returns the time on an instance's local clock.
   *
   * @param id Id of the instance.
   * @returns Milliseconds, as the `nowMs` of its events has them.
   */
  localNowMs(id: string): number {
    return this.nowMs + this.#node(id).clockOffsetMs;
  }

  /**
   * Lists the effects that an instance has issued, over all incarnations.
   *
   * @param id Id of the instance.
   * @returns All effects since the fleet was created, oldest first.
   */
  effects(id: string): readonly IssuedEffect[] {
    return this.#node(id).effects;
  }

  /**
   * Delivers an event to an instance; a paused one gets it when it resumes.
   *
   * @param id Id of the instance.
   * @param event The event.
   */
  deliver(id: string, event: UntimedEvent): void {
    this.#deliverTo(this.#node(id), event);
  }

  /**
   * Schedules an action on the fleet's clock.
   *
   * @param delayMs Delay from now, in milliseconds.
   * @param action Function to run.
   */
  schedule(delayMs: number, action: () => void): void {
    this.#clock.schedule(delayMs, action);
  }

  /**
   * Pauses an instance; its connections stay open.
   *
   * @param id Id of the instance.
   */
  pause(id: string): void {
    this.#node(id).paused = true;
  }

  /**
   * Resumes a paused instance: it gets a tick and the events that arrived while
   * it was paused.
   *
   * @param id Id of the instance.
   * @param messagesFirst Whether those events come before the tick.
   */
  resume(id: string, messagesFirst = false): void {
    const node = this.#node(id);
    node.paused = false;
    const pendingEvents = node.pendingEvents;
    node.pendingEvents = [];
    if (!messagesFirst) this.#deliverTo(node, { kind: EventKind.Tick });
    for (const event of pendingEvents) this.#deliverTo(node, event);
    if (messagesFirst) this.#deliverTo(node, { kind: EventKind.Tick });
  }

  /**
   * Cuts all links between two sides; messages on them are dropped silently
   * until the connections are lost as well.
   *
   * @param a An instance id or a failure domain.
   * @param b An instance id or failure domain on the other side.
   */
  cut(a: string, b: string): void {
    for (const link of this.#links(a, b)) {
      this.#cutLinks.add(link.key);
      this.schedule(
        this.#options.brokenLinkTimeoutMs ?? DEFAULT_BROKEN_LINK_TIMEOUT_MS,
        () => this.#breakIfCut(link),
      );
    }
  }

  /**
   * Restores all links between two sides; lost connections are dialled again.
   *
   * @param a An instance id or a failure domain.
   * @param b An instance id or failure domain on the other side.
   */
  heal(a: string, b: string): void {
    for (const link of this.#links(a, b)) this.#cutLinks.delete(link.key);
  }

  /**
   * Drops the next message of a kind between two instances.
   *
   * @param message Sender, receiver and kind of the message.
   */
  dropNext(message: MessageSelector): void {
    this.#messagesToDrop.push(message);
  }

  /**
   * Kills the process of an instance and closes its connections.
   *
   * @param id Id of the instance.
   */
  kill(id: string): void {
    const node = this.#node(id);
    node.running = false;
    node.paused = false;
    node.pendingEvents = [];
    node.dialled.clear();
    for (const peerId of [...node.connected]) this.#disconnect(node, peerId);
  }

  /**
   * Kills an instance and starts it again with the next incarnation.
   *
   * @param id Id of the instance.
   */
  restart(id: string): void {
    const node = this.#node(id);
    this.kill(id);
    node.incarnation += 1;
    node.core = this.#makeCore(node);
    this.#start(node);
  }

  #node(id: string): SimulatedNode {
    const node = this.#nodes.get(id);
    if (node === undefined) throw new Error(`no instance ${id}`);
    return node;
  }

  #makeNode(instance: SimulatedInstance, index: number): SimulatedNode {
    const base = { ...instance, index, incarnation: 1 };
    return {
      ...base,
      clockOffsetMs: CLOCK_OFFSET_STEP_MS * (index + 1),
      effects: [],
      dialled: new Set(),
      connected: new Set(),
      core: this.#makeCore(base),
      running: false,
      paused: false,
      pendingEvents: [],
    };
  }

  #makeCore(
    node: SimulatedInstance & { index: number; incarnation: number },
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

  #start(node: SimulatedNode): void {
    node.running = true;
    const { settingsYaml } = this.#options;
    if (settingsYaml !== undefined) {
      this.#deliverTo(node, {
        kind: EventKind.SettingsRead,
        version: 1,
        content: settingsYaml,
        changeId: FIRST_CHANGE_ID,
      });
    }
  }

  #scheduleTick(node: SimulatedNode, delayMs: number): void {
    this.schedule(delayMs, () => {
      if (!node.paused) this.#deliverTo(node, { kind: EventKind.Tick });
      this.#scheduleTick(node, TICK_MS);
    });
  }

  #deliverTo(node: SimulatedNode, event: UntimedEvent): void {
    if (!node.running) return;
    if (node.paused) {
      node.pendingEvents.push(event);
      return;
    }
    const nowMs = this.nowMs + node.clockOffsetMs;
    for (const effect of node.core.handle({ ...event, nowMs })) {
      this.#applyEffect(node, effect);
    }
  }

  #applyEffect(node: SimulatedNode, effect: Effect): void {
    const { instanceId } = node;
    const issued: IssuedEffect = { atMs: this.nowMs, instanceId, effect };
    node.effects.push(issued);
    switch (effect.kind) {
      case EffectKind.SendPeer:
        this.#transmit(node, effect.peerId, effect.message);
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
    this.#options.onEffect?.(issued, this);
  }

  #transmit(from: SimulatedNode, peerId: string, message: PeerMessage): void {
    if (!from.connected.has(peerId)) return;
    if (this.#consumeDrop(from.instanceId, peerId, message)) return;
    const { dropShare = 0, duplicateShare = 0 } = this.#options;
    if (this.#random.next() < dropShare) return;
    const copies = this.#random.next() < duplicateShare ? 2 : 1;
    const to = this.#node(peerId);
    const toIncarnation = to.incarnation;
    const fromIncarnation = from.incarnation;
    for (let copy = 0; copy < copies; copy++) {
      this.schedule(this.#delayMs(), () => {
        if (this.#isCut(from, to) || to.incarnation !== toIncarnation) return;
        this.#deliverTo(to, {
          kind: EventKind.PeerMessageReceived,
          fromId: from.instanceId,
          fromIncarnation,
          message,
        });
      });
    }
  }

  /** Removes the first drop order that a message matches, if there is one. */
  #consumeDrop(fromId: string, toId: string, { kind }: PeerMessage): boolean {
    const index = this.#messagesToDrop.findIndex((drop) =>
      drop.fromId === fromId && drop.toId === toId && drop.kind === kind
    );
    if (index < 0) return false;
    this.#messagesToDrop.splice(index, 1);
    return true;
  }

  #delayMs(): number {
    return this.#options.delayMs ?? DEFAULT_DELAY_MS;
  }

  #isCut(a: SimulatedNode, b: SimulatedNode): boolean {
    return this.#cutLinks.has(linkKey(a, b));
  }

  #links(a: string, b: string): Link[] {
    const nodesNamed = (name: string) =>
      [...this.#nodes.values()].filter((node) =>
        node.instanceId === name || node.failureDomain === name
      );
    return nodesNamed(a).flatMap((one) =>
      nodesNamed(b).filter((other) => other !== one)
        .map((other) => ({ key: linkKey(one, other), ends: [one, other] }))
    );
  }

  #breakIfCut({ key, ends: [a, b] }: Link): void {
    if (this.#cutLinks.has(key)) this.#disconnect(a, b.instanceId);
  }

  #scheduleRedial(): void {
    this.schedule(REDIAL_MS, () => {
      for (const node of this.#nodes.values()) {
        for (const peerId of node.dialled) this.#connect(node, peerId);
      }
      this.#scheduleRedial();
    });
  }

  #connect(node: SimulatedNode, peerId: string): void {
    const peer = this.#nodes.get(peerId);
    if (
      peer === undefined || !peer.running || !node.running || node.paused ||
      node.connected.has(peerId) || this.#isCut(node, peer)
    ) {
      return;
    }
    node.connected.add(peerId);
    peer.connected.add(node.instanceId);
    this.#notifyBoth(node, peer, EventKind.PeerConnected);
  }

  #disconnect(node: SimulatedNode, peerId: string): void {
    const peer = this.#nodes.get(peerId);
    if (peer === undefined || !node.connected.delete(peerId)) return;
    peer.connected.delete(node.instanceId);
    this.#notifyBoth(node, peer, EventKind.PeerDisconnected);
  }

  #notifyBoth(
    a: SimulatedNode,
    b: SimulatedNode,
    kind: EventKind.PeerConnected | EventKind.PeerDisconnected,
  ): void {
    for (const [node, peer] of [[a, b], [b, a]]) {
      const { incarnation } = node;
      this.schedule(this.#delayMs(), () => {
        if (node.incarnation === incarnation) {
          this.#deliverTo(node, { kind, peerId: peer.instanceId });
        }
      });
    }
  }
}

/** Link between two instances; its key is the same in either direction. */
interface Link {
  readonly key: string;
  readonly ends: readonly [SimulatedNode, SimulatedNode];
}

function linkKey(a: SimulatedNode, b: SimulatedNode): string {
  return [a.instanceId, b.instanceId].sort().join("|");
}
