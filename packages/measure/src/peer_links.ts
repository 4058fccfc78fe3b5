/** Simulated links between entry instances. */

import type { PeerMessage } from "@chestnuthatch/wire/peer_messages";
import type { EventQueue } from "./event_queue.ts";
import {
  CONNECT_TIMEOUT_MS,
  type SimulatedNetwork,
} from "./simulated_network.ts";

/** A running process of an entry instance, as its peers reach it. */
export interface PeerProcess {
  readonly instanceId: string;
  readonly incarnation: number;
  readonly failureDomain: string;
  /**
   * Handles a link that opened.
   *
   * @param peerId Id of the instance that messages can now be sent to.
   */
  onPeerConnected(peerId: string): void;
  /**
   * Handles a link that closed.
   *
   * @param peerId Id of the instance that messages can't be sent to any more.
   */
  onPeerDisconnected(peerId: string): void;
  /**
   * Receives a message.
   *
   * @param from The process that sent the message.
   * @param message The message.
   */
  onPeerMessage(from: PeerProcess, message: PeerMessage): void;
}

/** Time after which a link with an undelivered message closes. */
const SILENCE_TIMEOUT_MS = 1500;
const REDIAL_DELAY_MS = 250;

/** One direction of an open link. */
interface LinkDirection {
  readonly from: PeerProcess;
  readonly to: PeerProcess;
  readonly link: Link;
  /** Messages sent while the network is cut, not delivered yet. */
  backlog: PeerMessage[];
}

/** An open link; both processes may send, whichever of them dialled. */
interface Link {
  readonly ends: readonly [PeerProcess, PeerProcess];
  isOpen: boolean;
}

/** Links of one process. */
interface ProcessLinks {
  /** Instances that the process dials again whenever their link closes. */
  readonly wantedPeerIds: Set<string>;
  readonly directionsByPeerId: Map<string, LinkDirection>;
}

/** Opens links between entry instances and delivers messages over them. */
export class PeerLinks {
  readonly #queue: EventQueue;
  readonly #network: SimulatedNetwork;
  readonly #processesById = new Map<string, PeerProcess>();
  readonly #linksByProcess = new Map<PeerProcess, ProcessLinks>();

  /**
   * @param queue The simulated clock.
   * @param network The network between the failure domains.
   */
  constructor(queue: EventQueue, network: SimulatedNetwork) {
    this.#queue = queue;
    this.#network = network;
  }

  /**
   * Adds a process that has started.
   *
   * @param peerProcess The process.
   */
  addProcess(peerProcess: PeerProcess): void {
    this.#processesById.set(peerProcess.instanceId, peerProcess);
    this.#linksByProcess.set(peerProcess, {
      wantedPeerIds: new Set(),
      directionsByPeerId: new Map(),
    });
  }

  /**
   * Removes a process that has ended; its links close.
   *
   * @param peerProcess The process.
   */
  removeProcess(peerProcess: PeerProcess): void {
    const links = this.#linksByProcess.get(peerProcess);
    this.#processesById.delete(peerProcess.instanceId);
    this.#linksByProcess.delete(peerProcess);
    for (const { to, link } of links?.directionsByPeerId.values() ?? []) {
      this.#queue.after(
        this.#delayMs(peerProcess, to),
        () => this.#closeLink(link),
      );
    }
  }

  /**
   * Opens a link to an instance, and opens it again whenever it closes.
   *
   * @param from The process that dials.
   * @param toId Id of the instance to connect to.
   */
  connect(from: PeerProcess, toId: string): void {
    const links = this.#linksByProcess.get(from);
    if (links !== undefined && !links.wantedPeerIds.has(toId)) {
      links.wantedPeerIds.add(toId);
      this.#dial(from, toId);
    }
  }

  /**
   * Stops keeping a link open. The link closes unless the other process keeps
   * it open too.
   *
   * @param from The process that dialled.
   * @param toId Id of the instance to disconnect from.
   */
  disconnect(from: PeerProcess, toId: string): void {
    const links = this.#linksByProcess.get(from);
    links?.wantedPeerIds.delete(toId);
    const direction = links?.directionsByPeerId.get(toId);
    if (direction !== undefined && !this.#wantsLink(direction.to, from)) {
      this.#closeLink(direction.link);
    }
  }

  /**
   * Sends a message; it is dropped if there is no open link.
   *
   * @param from The process that sends.
   * @param options Id of the receiving instance, and the message.
   */
  send(
    from: PeerProcess,
    options: { toId: string; message: PeerMessage },
  ): void {
    const direction = this.#linksByProcess.get(from)?.directionsByPeerId.get(
      options.toId,
    );
    if (direction === undefined) {
      return;
    }
    direction.backlog.push(options.message);
    if (this.#isConnected(direction)) {
      this.#flush(direction);
    } else if (direction.backlog.length === 1) {
      this.#closeAfterSilence(direction);
    }
  }

  #dial(from: PeerProcess, toId: string): void {
    const links = this.#linksByProcess.get(from);
    if (!links?.wantedPeerIds.has(toId) || links.directionsByPeerId.has(toId)) {
      return;
    }
    const to = this.#processesById.get(toId);
    if (to === undefined) {
      this.#queue.after(REDIAL_DELAY_MS, () => this.#dial(from, toId));
    } else if (!this.#isConnected({ from, to })) {
      this.#queue.after(CONNECT_TIMEOUT_MS, () => this.#dial(from, toId));
    } else {
      const roundTripMs = 2 * this.#delayMs(from, to);
      this.#queue.after(roundTripMs, () => this.#openLink(from, to));
    }
  }

  #openLink(from: PeerProcess, to: PeerProcess): void {
    const ownLinks = this.#linksByProcess.get(from);
    const peerLinks = this.#linksByProcess.get(to);
    if (
      ownLinks === undefined || ownLinks.directionsByPeerId.has(to.instanceId)
    ) {
      return;
    }
    if (peerLinks === undefined) {
      this.#dial(from, to.instanceId);
      return;
    }
    const link: Link = { ends: [from, to], isOpen: true };
    ownLinks.directionsByPeerId.set(to.instanceId, {
      from,
      to,
      link,
      backlog: [],
    });
    peerLinks.directionsByPeerId.set(from.instanceId, {
      from: to,
      to: from,
      link,
      backlog: [],
    });
    from.onPeerConnected(to.instanceId);
    to.onPeerConnected(from.instanceId);
  }

  #closeLink(link: Link): void {
    if (!link.isOpen) {
      return;
    }
    link.isOpen = false;
    const [a, b] = link.ends;
    this.#closeDirection(a, b);
    this.#closeDirection(b, a);
  }

  #closeDirection(peerProcess: PeerProcess, peer: PeerProcess): void {
    const links = this.#linksByProcess.get(peerProcess);
    if (links?.directionsByPeerId.delete(peer.instanceId)) {
      peerProcess.onPeerDisconnected(peer.instanceId);
      this.#dial(peerProcess, peer.instanceId);
    }
  }

  #flush(direction: LinkDirection): void {
    const { from, to, backlog: messages } = direction;
    direction.backlog = [];
    this.#queue.after(this.#delayMs(from, to), () => {
      if (this.#processesById.get(to.instanceId) === to) {
        messages.forEach((message) => to.onPeerMessage(from, message));
      }
    });
  }

  #closeAfterSilence(direction: LinkDirection): void {
    this.#queue.after(SILENCE_TIMEOUT_MS, () => {
      if (!direction.link.isOpen || direction.backlog.length === 0) {
        return;
      }
      if (this.#isConnected(direction)) {
        this.#flush(direction);
      } else {
        this.#closeLink(direction.link);
      }
    });
  }

  #wantsLink(peerProcess: PeerProcess, peer: PeerProcess): boolean {
    return this.#linksByProcess.get(peerProcess)?.wantedPeerIds.has(
      peer.instanceId,
    ) ?? false;
  }

  #isConnected({ from, to }: { from: PeerProcess; to: PeerProcess }): boolean {
    return this.#network.isConnected(from.failureDomain, to.failureDomain);
  }

  #delayMs(from: PeerProcess, to: PeerProcess): number {
    return this.#network.delayMs(from.failureDomain, to.failureDomain);
  }
}
