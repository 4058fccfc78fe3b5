/**
 * Index of a pool's targets and their use, kept between choices so that the
 * cost of a choice does not grow with the number of targets.
 */

import { type Candidate, type TargetUse, typicalOf } from "./target_choice.ts";

/** Upper bound of free targets that are compared for one request. */
const MAX_COMPARED_TARGETS = 64;

/**
 * Lower bound of compared targets that are in the request's own failure domain,
 * if it has as many free ones.
 */
const MIN_LOCAL_COMPARED_TARGETS = 48;

/** Maximum age of the cached mean latency model of a large pool. */
const MAX_TYPICAL_AGE_MS = 100;

/**
 * Unordered set of free targets of one failure domain with constant-time
 * changes.
 */
class FreeList {
  readonly #ids: string[] = [];
  readonly #positions = new Map<string, number>();
  #offset = 0;

  get size(): number {
    return this.#ids.length;
  }

  add(targetId: string): void {
    if (!this.#positions.has(targetId)) {
      this.#positions.set(targetId, this.#ids.push(targetId) - 1);
    }
  }

  /** Removes a target; the last one of the list takes its position. */
  remove(targetId: string): void {
    const position = this.#positions.get(targetId);
    if (position === undefined) {
      return;
    }
    this.#positions.delete(targetId);
    const last = this.#ids.pop()!;
    if (last !== targetId) {
      this.#ids[position] = last;
      this.#positions.set(last, position);
    }
  }

  /** Returns up to `count` ids, starting after those of the call before. */
  sample(count: number): string[] {
    if (count >= this.size) {
      return this.#ids;
    }
    this.#offset = (this.#offset + count) % this.size;
    const head = this.#ids.slice(this.#offset, this.#offset + count);
    return [...head, ...this.#ids.slice(0, count - head.length)];
  }
}

/**
 * Index of candidates by id, and of those with free slots by failure domain.
 */
export class CandidateIndex {
  /** Total number of slots of all targets. */
  readonly slots: number;
  readonly #byId = new Map<string, Candidate>();
  readonly #freeByDomain = new Map<string, FreeList>();
  #freeCount = 0;
  #typical?: Candidate;
  #typicalAtMs = -Infinity;
  #isTypicalSaturated = false;

  /** @param candidates All targets that serve the pool. */
  constructor(candidates: readonly Candidate[]) {
    this.slots = candidates
      .reduce((sum, { target }) => sum + target.slots, 0);
    for (const candidate of candidates) {
      this.#byId.set(candidate.target.targetId, candidate);
      this.#updateFree(candidate);
    }
  }

  /** Number of targets. */
  get size(): number {
    return this.#byId.size;
  }

  /** Number of targets with a free slot. */
  get freeCount(): number {
    return this.#freeCount;
  }

  /** Whether any target has a free slot. */
  get hasFree(): boolean {
    return this.#freeCount > 0;
  }

  /**
   * @param targetId Id of a target.
   * @returns The candidate; undefined if the target does not serve the pool.
   */
  get(targetId: string): Candidate | undefined {
    return this.#byId.get(targetId);
  }

  /** @returns All targets that serve the pool. */
  all(): Candidate[] {
    return [...this.#byId.values()];
  }

  /**
   * Updates the use of a target.
   *
   * @param targetId Id of the target; ignored if it does not serve the pool.
   * @param use Sums over the work that runs there now.
   */
  updateUse(targetId: string, use: TargetUse): void {
    const known = this.#byId.get(targetId);
    if (known !== undefined) {
      const candidate = { ...known, use };
      this.#byId.set(targetId, candidate);
      this.#updateFree(candidate);
    }
  }

  /**
   * Samples targets with a free slot to choose among.
   *
   * @param failureDomain Failure domain of the holder that asks.
   * @returns All free targets of a small pool; of a large one some that change
   * with each call, most of them in the holder's domain.
   */
  sampleFree(failureDomain: string): Candidate[] {
    if (this.#freeCount <= MAX_COMPARED_TARGETS) {
      return this.allFree();
    }
    const local = this.#freeByDomain.get(failureDomain);
    const others = [...this.#freeByDomain.values()]
      .filter((list) => list !== local && list.size > 0);
    const otherCount = others.reduce((sum, { size }) => sum + size, 0);
    const localCount = Math.min(
      local?.size ?? 0,
      Math.max(MIN_LOCAL_COMPARED_TARGETS, MAX_COMPARED_TARGETS - otherCount),
    );
    const perDomain = Math.ceil(
      (MAX_COMPARED_TARGETS - localCount) / others.length,
    );
    const ids = [
      local?.sample(localCount) ?? [],
      ...others.map((l) => l.sample(perDomain)),
    ];
    return ids.flat().map((targetId) => this.#byId.get(targetId)!);
  }

  /** @returns All targets with a free slot. */
  allFree(): Candidate[] {
    return [...this.#byId.values()].filter(hasFreeSlot);
  }

  /**
   * Returns a target that stands for the pool's average in predictions. It is
   * cached for a large pool.
   *
   * @param nowMs Current local time in milliseconds.
   * @param isSaturated Whether to average over the slots that become free.
   * @returns An idle candidate with the mean latency model of all targets;
   * undefined where there are none.
   */
  typical(nowMs: number, isSaturated = false): Candidate | undefined {
    const isStale = this.size <= MAX_COMPARED_TARGETS ||
      isSaturated !== this.#isTypicalSaturated ||
      nowMs - this.#typicalAtMs >= MAX_TYPICAL_AGE_MS;
    if (isStale) {
      this.#typical = typicalOf(this.all(), isSaturated);
      this.#isTypicalSaturated = isSaturated;
      this.#typicalAtMs = nowMs;
    }
    return this.#typical;
  }

  #updateFree(candidate: Candidate): void {
    const { targetId, failureDomain } = candidate.target;
    const list = this.#freeListOf(failureDomain);
    const before = list.size;
    if (hasFreeSlot(candidate)) {
      list.add(targetId);
    } else {
      list.remove(targetId);
    }
    this.#freeCount += list.size - before;
  }

  #freeListOf(failureDomain: string): FreeList {
    let list = this.#freeByDomain.get(failureDomain);
    if (list === undefined) {
      list = new FreeList();
      this.#freeByDomain.set(failureDomain, list);
    }
    return list;
  }
}

/**
 * @param candidate A target and its use.
 * @returns Whether it has a free slot.
 */
export function hasFreeSlot({ target, use }: Candidate): boolean {
  return use.running < target.slots;
}
