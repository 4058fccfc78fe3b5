/** Links between entry instances: whoever dials, both ends may send. */

import type { PeerMessage } from "@chestnuthatch/wire/peer_messages";
import type { EventQueue } from "./event_queue.ts";
import { CONNECT_TIMEOUT_MS, type Network } from "./network.ts";

/** One running process of an entry instance, as its peers reach it. */
export interface PeerNode {
  readonly instanceId: string;
  readonly incarnation: number;
  readonly failureDomain: string;
  /** @param peerId The peer that this one can now send to. */
  peerConnected(peerId: string): void;
  /** @param peerId The peer that this one can no longer send to. */
  peerDisconnected(peerId: string): void;
  /**
   * Takes a message.
   *
   * @param from The sender.
   * @param message The message.
   */
  peerMessage(from: PeerNode, message: PeerMessage): void;
}

/** A link over a cut network counts as broken after this long. */
const SILENCE_MS = 1500;
const REDIAL_MS = 250;

/** One direction of an open link. */
interface Direction {
  readonly from: PeerNode;
  readonly to: PeerNode;
  readonly link: Link;
  /** Sent while the network is cut, to be sent again when it heals. */
  unsent: PeerMessage[];
}

interface Link {
  readonly ends: readonly [PeerNode, PeerNode];
  isOpen: boolean;
}

interface NodeState {
  readonly wantedIds: Set<string>;
  readonly directions: Map<string, Direction>;
}

/** Carries messages between entry instances. */
export class PeerLinks {
  readonly #queue: EventQueue;
  readonly #network: Network;
  readonly #live = new Map<string, PeerNode>();
  readonly #states = new Map<PeerNode, NodeState>();

  /**
   * @param queue The clock.
   * @param network The links between domains.
   */
  constructor(queue: EventQueue, network: Network) {
    this.#queue = queue;
    this.#network = network;
  }

  /** @param node A process that has started. */
  join(node: PeerNode): void {
    this.#live.set(node.instanceId, node);
    this.#states.set(node, { wantedIds: new Set(), directions: new Map() });
  }

  /** @param node A process that has died. */
  leave(node: PeerNode): void {
    const state = this.#states.get(node);
    this.#live.delete(node.instanceId);
    this.#states.delete(node);
    for (const { to, link } of state?.directions.values() ?? []) {
      this.#queue.after(this.#delayMs(node, to), () => this.#lose(link));
    }
  }

  /**
   * Keeps a link, dialling again whenever it breaks.
   *
   * @param from The process that dials.
   * @param toId The instance it dials.
   */
  connect(from: PeerNode, toId: string): void {
    const state = this.#states.get(from);
    if (state !== undefined && !state.wantedIds.has(toId)) {
      state.wantedIds.add(toId);
      this.#dial(from, toId);
    }
  }

  /**
   * Keeps a link no longer; it ends where the other end does not want it.
   *
   * @param from The process that dialled.
   * @param toId The instance it dialled.
   */
  forget(from: PeerNode, toId: string): void {
    const state = this.#states.get(from);
    state?.wantedIds.delete(toId);
    const direction = state?.directions.get(toId);
    if (direction !== undefined && !this.#wants(direction.to, from)) {
      this.#lose(direction.link);
    }
  }

  /**
   * Sends a message, if there is a link.
   *
   * @param from The sender.
   * @param options The receiver's id, and the message.
   */
  send(
    from: PeerNode,
    options: { toId: string; message: PeerMessage },
  ): void {
    const direction = this.#states.get(from)?.directions.get(options.toId);
    if (direction === undefined) {
      return;
    }
    direction.unsent.push(options.message);
    if (this.#reaches(direction)) {
      this.#flush(direction);
    } else if (direction.unsent.length === 1) {
      this.#watchSilence(direction);
    }
  }

  #dial(from: PeerNode, toId: string): void {
    const state = this.#states.get(from);
    if (!state?.wantedIds.has(toId) || state.directions.has(toId)) {
      return;
    }
    const to = this.#live.get(toId);
    if (to === undefined) {
      this.#queue.after(REDIAL_MS, () => this.#dial(from, toId));
    } else if (!this.#reaches({ from, to })) {
      this.#queue.after(CONNECT_TIMEOUT_MS, () => this.#dial(from, toId));
    } else {
      const roundTripMs = 2 * this.#delayMs(from, to);
      this.#queue.after(roundTripMs, () => this.#open(from, to));
    }
  }

  #open(from: PeerNode, to: PeerNode): void {
    const own = this.#states.get(from);
    const other = this.#states.get(to);
    if (own === undefined || own.directions.has(to.instanceId)) {
      return;
    }
    if (other === undefined) {
      this.#dial(from, to.instanceId);
      return;
    }
    const link: Link = { ends: [from, to], isOpen: true };
    own.directions.set(to.instanceId, { from, to, link, unsent: [] });
    other.directions.set(from.instanceId, {
      from: to,
      to: from,
      link,
      unsent: [],
    });
    from.peerConnected(to.instanceId);
    to.peerConnected(from.instanceId);
  }

  #lose(link: Link): void {
    if (!link.isOpen) {
      return;
    }
    link.isOpen = false;
    const [a, b] = link.ends;
    this.#loseEnd(a, b);
    this.#loseEnd(b, a);
  }

  #loseEnd(node: PeerNode, peer: PeerNode): void {
    const state = this.#states.get(node);
    if (state?.directions.delete(peer.instanceId)) {
      node.peerDisconnected(peer.instanceId);
      this.#dial(node, peer.instanceId);
    }
  }

  #flush(direction: Direction): void {
    const { from, to, unsent } = direction;
    direction.unsent = [];
    this.#queue.after(this.#delayMs(from, to), () => {
      if (this.#live.get(to.instanceId) === to) {
        unsent.forEach((message) => to.peerMessage(from, message));
      }
    });
  }

  #watchSilence(direction: Direction): void {
    this.#queue.after(SILENCE_MS, () => {
      if (!direction.link.isOpen || direction.unsent.length === 0) {
        return;
      }
      if (this.#reaches(direction)) {
        this.#flush(direction);
      } else {
        this.#lose(direction.link);
      }
    });
  }

  #wants(node: PeerNode, peer: PeerNode): boolean {
    return this.#states.get(node)?.wantedIds.has(peer.instanceId) ?? false;
  }

  #reaches({ from, to }: { from: PeerNode; to: PeerNode }): boolean {
    return this.#network.reaches(from.failureDomain, to.failureDomain);
  }

  #delayMs(from: PeerNode, to: PeerNode): number {
    return this.#network.delayMs(from.failureDomain, to.failureDomain);
  }
}
