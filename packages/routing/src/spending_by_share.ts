/**
 * Spending of workspaces, separated by the share of the fleet's allotments out
 * of which it was handed out.
 */

import {
  addedHistories,
  mergedHistory,
  type Slice,
  type SpendingHistory,
  SpendingLog,
} from "./spending_log.ts";

/** Spending that was handed out of one share of the fleet's allotments. */
export interface SpendingLayer {
  /** Above 0 and at most 1; 1 while a coordinator reaches all instances. */
  readonly share: number;
  /**
   * Process that handed it out. Coordinators pass layers on, so that several
   * accounts contain the same one. Absent for the whole of the allotments.
   */
  readonly origin?: string;
  /**
   * Present in the layer that its process derived from the reports of holders,
   * or assumed, rather than handed out: of two such layers, the one with the
   * higher revision replaces the other.
   */
  readonly revision?: number;
  /** Spending of workspaces by age. */
  readonly spending: readonly SpendingHistory[];
}

/**
 * Number of equal steps into which shares are rounded down. The share of a large
 * fleet changes with each member that is heard again, and each value of it would
 * be a layer of its own.
 */
const SHARE_STEPS = 16;

/** Smallest share that is told from others, below one step by powers of 2. */
const MIN_LAYER_SHARE = 1 / 1024;

/**
 * Rounds a share to that of its layer. Spending out of a smaller share counts
 * for more of any other part of the fleet, so that it is never counted short.
 *
 * @param share Share of the fleet's allotments, above 0 and at most 1.
 * @returns The share, rounded down.
 */
export function layerShareOf(share: number): number {
  const steps = Math.floor(share * SHARE_STEPS);
  const rounded = steps > 0
    ? steps / SHARE_STEPS
    : 2 ** Math.floor(Math.log2(share));
  return Math.max(MIN_LAYER_SHARE, rounded);
}

/**
 * Changes the spending of each workspace in layers.
 *
 * @param layers The layers.
 * @param change Returns the changed spending of a workspace.
 * @returns New layers with the changed spending.
 */
export function mapLayers(
  layers: readonly SpendingLayer[],
  change: (history: SpendingHistory) => SpendingHistory,
): SpendingLayer[] {
  return layers
    .map((layer) => ({ ...layer, spending: layer.spending.map(change) }));
}

/** What tells one layer from another. */
export type LayerKey = Omit<SpendingLayer, "spending">;

interface LoggedLayer {
  readonly key: LayerKey;
  readonly log: SpendingLog;
}

/** Logs of spending, one for each layer. */
export class SpendingByShare {
  readonly #windowMs: number;
  readonly #layers = new Map<string, LoggedLayer>();

  /** @param windowMs Length of the sliding window in milliseconds. */
  constructor(windowMs: number) {
    this.#windowMs = windowMs;
  }

  /**
   * @param key The layer; that of the whole of the allotments has no origin.
   * @returns The log of the spending in it.
   */
  of(key: LayerKey): SpendingLog {
    const id = layerIdOf(key);
    const known = this.#layers.get(id);
    if (known !== undefined && known.key.revision === key.revision) {
      return known.log;
    }
    const layer = { key, log: new SpendingLog(this.#windowMs) };
    this.#layers.set(id, layer);
    return layer.log;
  }

  /**
   * Begins a revision of a derived layer, with what the one before it has.
   *
   * @param key The layer, with its new revision.
   * @returns The log of the spending in it.
   */
  revise(key: LayerKey): SpendingLog {
    const id = layerIdOf(key);
    const log = this.#layers.get(id)?.log ?? new SpendingLog(this.#windowMs);
    this.#layers.set(id, { key, log });
    return log;
  }

  /** Whether a later revision of a layer is known. */
  #isReplaced(key: LayerKey): boolean {
    const known = this.#layers.get(layerIdOf(key))?.key;
    return (known?.revision ?? 0) > (key.revision ?? 0);
  }

  /**
   * @param workspace Name of a workspace.
   * @param nowMs Current local time in milliseconds.
   * @returns Cost units that the workspace spent within the window.
   */
  spent(workspace: string, nowMs: number): number {
    return this.#sum((log) => log.spent(workspace, nowMs));
  }

  /**
   * Returns what counts against the allotments of a part of the fleet: it takes
   * over as much of the spending out of a larger share as of that share itself.
   *
   * @param workspace Name of a workspace.
   * @param share Share of the fleet that the part is.
   * @param nowMs Current local time in milliseconds.
   * @returns Cost units within the window.
   */
  spentOutOf(workspace: string, share: number, nowMs: number): number {
    return this.#sum((log, key) =>
      log.spent(workspace, nowMs) * Math.min(1, share / key.share)
    );
  }

  /**
   * Returns the spending that {@link spentOutOf} adds up, by time.
   *
   * @param workspace Name of the workspace.
   * @param share Share of the fleet that the part is.
   * @param nowMs Current local time in milliseconds.
   * @returns Cost units within the window, in no particular order.
   */
  slicesOutOf(workspace: string, share: number, nowMs: number): Slice[] {
    return [...this.#layers.values()].flatMap(({ key, log }) =>
      log.slices(workspace, nowMs).map(({ beganAtMs, spent }) => ({
        beganAtMs,
        spent: spent * Math.min(1, share / key.share),
      }))
    );
  }

  /**
   * Adds the spending of another instance of this class.
   *
   * @param other The spending.
   */
  append(other: SpendingByShare): void {
    other.#layers.forEach(({ key, log }) => this.of(key).append(log));
  }

  /**
   * Merges spending as another instance knows it. Both overlap, and adding them
   * up would count spending several times.
   *
   * @param layer Spending of one layer.
   * @param atMs Local time in milliseconds that the ages count from.
   */
  merge({ spending, ...key }: SpendingLayer, atMs: number): void {
    if (this.#isReplaced(key)) {
      return;
    }
    const log = this.of(key);
    for (const history of spending) {
      const known = log.history(history.workspace, atMs);
      log.setHistory(mergedHistory(known, history), atMs);
    }
  }

  /**
   * Adds spending by age that is not contained yet.
   *
   * @param layer Spending of one layer.
   * @param atMs Local time in milliseconds that the ages count from.
   */
  add({ spending, ...key }: SpendingLayer, atMs: number): void {
    const log = this.of(key);
    for (const history of spending) {
      const known = log.history(history.workspace, atMs);
      log.setHistory(addedHistories(known, history), atMs);
    }
  }

  /**
   * @param workspaces Names of workspaces.
   * @param nowMs Current local time in milliseconds.
   * @returns The spending of these, without layers that have none.
   */
  layers(workspaces: readonly string[], nowMs: number): SpendingLayer[] {
    return [...this.#layers.values()].map(({ key, log }) => ({
      ...key,
      spending: workspaces
        .map((workspace) => log.history(workspace, nowMs))
        .filter(({ spent }) => spent > 0),
    })).filter(({ spending }) => spending.length > 0);
  }

  /**
   * @param nowMs Current local time in milliseconds.
   * @returns Names of the workspaces with spending within the window.
   */
  workspaces(nowMs: number): string[] {
    return [...this.#layers.values()]
      .flatMap(({ log }) => log.workspaces(nowMs));
  }

  /**
   * Removes the layers whose spending has left the window.
   *
   * @param nowMs Current local time in milliseconds.
   */
  evictExpired(nowMs: number): void {
    for (const [id, { log }] of this.#layers) {
      if (log.workspaces(nowMs).length === 0) {
        this.#layers.delete(id);
      }
    }
  }

  #sum(amountOf: (log: SpendingLog, key: LayerKey) => number): number {
    let sum = 0;
    for (const { key, log } of this.#layers.values()) {
      sum += amountOf(log, key);
    }
    return sum;
  }
}

/** What a process derived is one layer, whatever its share was at the time. */
function layerIdOf({ share, origin = "", revision }: LayerKey): string {
  return revision === undefined ? `${share} ${origin}` : `derived ${origin}`;
}
