/**
 * The targets of one pool with what runs there, kept between choices: what a
 * choice costs does not grow with the number of targets.
 */

import { type Candidate, type TargetUse, typicalOf } from "./target_choice.ts";

/** Free targets that are compared for one request, if there are as many. */
const MOST_COMPARED = 64;

/** How many of them are of the request's own failure domain, at the least. */
const LEAST_OF_OWN_DOMAIN = 48;

/** Time for which the mean pace of a large pool is not made anew. */
const TYPICAL_MS = 100;

/** Free targets of one failure domain, in no order. */
class FreeList {
  readonly #ids: string[] = [];
  readonly #places = new Map<string, number>();
  #turn = 0;

  get size(): number {
    return this.#ids.length;
  }

  add(targetId: string): void {
    if (!this.#places.has(targetId)) {
      this.#places.set(targetId, this.#ids.push(targetId) - 1);
    }
  }

  /** The last one takes its place. */
  remove(targetId: string): void {
    const place = this.#places.get(targetId);
    if (place === undefined) {
      return;
    }
    this.#places.delete(targetId);
    const last = this.#ids.pop()!;
    if (last !== targetId) {
      this.#ids[place] = last;
      this.#places.set(last, place);
    }
  }

  /** As many as are wanted, others with each turn. */
  some(count: number): string[] {
    if (count >= this.size) {
      return this.#ids;
    }
    this.#turn = (this.#turn + count) % this.size;
    const begin = this.#ids.slice(this.#turn, this.#turn + count);
    return [...begin, ...this.#ids.slice(0, count - begin.length)];
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
      this.#noteFree(candidate);
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
  used(targetId: string, use: TargetUse): void {
    const known = this.#byId.get(targetId);
    if (known !== undefined) {
      const candidate = { ...known, use };
      this.#byId.set(targetId, candidate);
      this.#noteFree(candidate);
    }
  }

  /**
   * @param failureDomain Domain of who asks.
   * @returns Targets with a free slot to choose among: all of a small pool, else
   * some, most of them in that domain.
   */
  free(failureDomain: string): Candidate[] {
    if (this.#freeCount <= MOST_COMPARED) {
      return this.allFree();
    }
    const own = this.#freeByDomain.get(failureDomain);
    const others = [...this.#freeByDomain.values()]
      .filter((list) => list !== own && list.size > 0);
    const elsewhere = others.reduce((sum, { size }) => sum + size, 0);
    const ownCount = Math.min(
      own?.size ?? 0,
      Math.max(LEAST_OF_OWN_DOMAIN, MOST_COMPARED - elsewhere),
    );
    const each = Math.ceil((MOST_COMPARED - ownCount) / others.length);
    const ids = [own?.some(ownCount) ?? [], ...others.map((l) => l.some(each))];
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
    const isOld = this.size <= MOST_COMPARED ||
      nowMs - this.#typicalAtMs >= TYPICAL_MS;
    if (isOld) {
      this.#typical = typicalOf(this.all());
      this.#typicalAtMs = nowMs;
    }
    return this.#typical;
  }

  #noteFree(candidate: Candidate): void {
    const { targetId, failureDomain } = candidate.target;
    const list = this.#listOf(failureDomain);
    const before = list.size;
    if (hasFreeSlot(candidate)) {
      list.add(targetId);
    } else {
      list.remove(targetId);
    }
    this.#freeCount += list.size - before;
  }

  #listOf(failureDomain: string): FreeList {
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
