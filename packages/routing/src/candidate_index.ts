/**
 * The targets of one pool with what runs there, kept between choices: what a
 * choice costs does not grow with the number of targets.
 */

import { type Candidate, type TargetUse, typicalOf } from "./target_choice.ts";

/** Free targets that are compared for one request, if there are as many. */
const MAX_COMPARED = 64;

/** How many of them are of the request's own failure domain, at the least. */
const MIN_LOCAL_COMPARED = 48;

/** Time for which the mean pace of a large pool is not made anew. */
const TYPICAL_MAX_AGE_MS = 100;

/** Free targets of one failure domain, in no order. */
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

  /** The last one takes its place. */
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

  /** As many as are wanted, others with each turn. */
  sample(count: number): string[] {
    if (count >= this.size) {
      return this.#ids;
    }
    this.#offset = (this.#offset + count) % this.size;
    const head = this.#ids.slice(this.#offset, this.#offset + count);
    return [...head, ...this.#ids.slice(0, count - head.length)];
  }
}

/** Candidates by id, and those with free slots by failure domain. */
export class CandidateIndex {
  /** Slots of all targets. */
  readonly slots: number;
  readonly #byId = new Map<string, Candidate>();
  readonly #freeByDomain = new Map<string, FreeList>();
  #freeCount = 0;
  #typical?: Candidate;
  #typicalAtMs = -Infinity;

  /** @param candidates Every target that serves the pool. */
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
   * @param targetId A target.
   * @returns The candidate, if it serves the pool.
   */
  get(targetId: string): Candidate | undefined {
    return this.#byId.get(targetId);
  }

  /** @returns Every target that serves the pool. */
  all(): Candidate[] {
    return [...this.#byId.values()];
  }

  /**
   * Takes in what runs at a target by now.
   *
   * @param targetId The target; one that does not serve the pool is left out.
   * @param use What runs there.
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
   * @param failureDomain Domain of who asks.
   * @returns Targets with a free slot to choose among: all of a small pool, else
   * some, most of them in that domain.
   */
  sampleFree(failureDomain: string): Candidate[] {
    if (this.#freeCount <= MAX_COMPARED) {
      return this.allFree();
    }
    const local = this.#freeByDomain.get(failureDomain);
    const others = [...this.#freeByDomain.values()]
      .filter((list) => list !== local && list.size > 0);
    const otherCount = others.reduce((sum, { size }) => sum + size, 0);
    const localCount = Math.min(
      local?.size ?? 0,
      Math.max(MIN_LOCAL_COMPARED, MAX_COMPARED - otherCount),
    );
    const perDomain = Math.ceil((MAX_COMPARED - localCount) / others.length);
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
   * @param nowMs The local time.
   * @returns An idle target of their mean pace; undefined where there are none.
   */
  typical(nowMs: number): Candidate | undefined {
    const isStale = this.size <= MAX_COMPARED ||
      nowMs - this.#typicalAtMs >= TYPICAL_MAX_AGE_MS;
    if (isStale) {
      this.#typical = typicalOf(this.all());
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
 * @param candidate A target.
 * @returns Whether it can take one request more.
 */
export function hasFreeSlot({ target, use }: Candidate): boolean {
  return use.running < target.slots;
}
