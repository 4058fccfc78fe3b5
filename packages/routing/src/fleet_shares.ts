/**
 * Shares of the fleet, by which limits that apply to the whole fleet are divided
 * between the parts of it that cannot reach each other.
 */

import type { FleetRoster } from "./fleet_roster.ts";
import type { MemberProcesses } from "./member_processes.ts";
import type { MemberRecord } from "./member_record.ts";
import { MEMBER_TIMEOUT_MS } from "./member_timeout.ts";

const NO_DOMAINS: ReadonlySet<string> = new Set();

/** The members of the fleet, as far as the shares depend on them. */
export interface FleetMembers {
  /** Id of this instance. */
  readonly selfId: string;
  /** Processes of the other members. */
  readonly processes: MemberProcesses;
  /** @returns All members, alive or not, this instance included. */
  all(): MemberRecord[];
  /** @returns Members that are alive, this instance included. */
  alive(nowMs: number): MemberRecord[];
  /** @returns Ids of the members that are alive. */
  aliveIds(nowMs: number): ReadonlySet<string>;
  /** @returns Members whose next heartbeat is late. */
  overdue(nowMs: number): MemberRecord[];
  /** @returns Whether another coordinator hands out a member's limits. */
  followsOther(instanceId: string, nowMs: number): boolean;
}

/** Computes the share that some members are of all instances of the fleet. */
export class FleetShares {
  readonly #members: FleetMembers;
  readonly #roster: FleetRoster;

  /**
   * @param members The members as this instance sees them.
   * @param roster All instances of the fleet.
   */
  constructor(members: FleetMembers, roster: FleetRoster) {
    this.#members = members;
    this.#roster = roster;
  }

  /**
   * @param nowMs The local time.
   * @returns The share of a single instance.
   */
  ofOne(nowMs: number): number {
    return 1 / this.#fleetSize(nowMs);
  }

  /**
   * @param nowMs The local time.
   * @returns The share that this instance reaches; above 0, at most 1.
   */
  reachable(nowMs: number): number {
    return this.#reached(nowMs).length / this.#fleetSize(nowMs);
  }

  /**
   * Returns the share that this instance reaches and whose limits it may hand
   * out as the coordinator.
   *
   * @param nowMs The local time.
   * @returns Above 0, at most 1.
   */
  coordinated(nowMs: number): number {
    const counted = this.#reached(nowMs)
      .filter((member) => this.#isCounted(member, nowMs));
    return Math.max(1, counted.length) / this.#fleetSize(nowMs);
  }

  /**
   * Returns the same share for a coordinator that has been one for the timeout
   * of a member. Every member sends all heartbeats to the coordinator, also in a
   * large fleet, so that the timeout of rounds does not apply. With that
   * timeout, both sides of a network partition would hand out the whole of the
   * allotments for seconds. A member that was silent counts once it has reported
   * what was spent through it meanwhile.
   *
   * @param nowMs The local time.
   * @param reportedAtMs Returns when a member last reported spending.
   * @returns Above 0, at most 1.
   */
  directlyCoordinated(
    nowMs: number,
    reportedAtMs: (instanceId: string) => number,
  ): number {
    const cutOff = this.#overdueDomains(nowMs);
    const counted = this.#members.all().filter((member) =>
      nowMs - member.lastHeartbeatAtMs < MEMBER_TIMEOUT_MS &&
      !cutOff.has(member.failureDomain) && this.#isCounted(member, nowMs) &&
      reportedAtMs(member.instanceId) >=
        this.#members.processes.recoveredAtMs(member.instanceId)
    );
    return Math.max(1, counted.length) / this.#fleetSize(nowMs);
  }

  /**
   * Returns the share of the fleet that some of its members are.
   *
   * @param nowMs The local time.
   * @param isCounted Whether a member counts.
   * @returns From 0 to 1.
   */
  of(nowMs: number, isCounted: (instanceId: string) => boolean): number {
    const counted = this.#members.all()
      .filter(({ instanceId }) => isCounted(instanceId));
    return Math.min(1, counted.length / this.#fleetSize(nowMs));
  }

  /**
   * Returns the share of the fleet whose processes have lived since a time.
   *
   * @param sinceMs Local time in milliseconds.
   * @param nowMs The local time.
   * @returns From 0 to 1; this instance counts.
   */
  aliveSince(sinceMs: number, nowMs: number): number {
    const living = this.#members.alive(nowMs).filter(({ instanceId }) =>
      instanceId === this.#members.selfId ||
      this.#members.processes.heardSinceMs(instanceId) <= sinceMs
    );
    return living.length / this.#fleetSize(nowMs);
  }

  #reached(nowMs: number): MemberRecord[] {
    const cutOff = this.#overdueDomains(nowMs);
    return this.#members.alive(nowMs)
      .filter(({ failureDomain }) => !cutOff.has(failureDomain));
  }

  /** Whether the limits of a member may be handed out by this instance. */
  #isCounted({ instanceId }: MemberRecord, nowMs: number): boolean {
    return !this.#members.followsOther(instanceId, nowMs) &&
      nowMs >= this.#members.processes.countsFromMs(instanceId);
  }

  /**
   * Failure domains all of whose instances have an overdue heartbeat. Instances
   * of a partitioned domain hand out their own part of the allotments even
   * before any of them counts as failed here.
   */
  #overdueDomains(nowMs: number): ReadonlySet<string> {
    const overdue = this.#members.overdue(nowMs);
    if (overdue.length === 0) {
      return NO_DOMAINS;
    }
    const punctual = new Set(
      this.#members.alive(nowMs).filter((member) => !overdue.includes(member))
        .map(({ failureDomain }) => failureDomain),
    );
    const silent = overdue.map(({ failureDomain }) => failureDomain)
      .filter((failureDomain) => !punctual.has(failureDomain));
    return new Set(silent);
  }

  #fleetSize(nowMs: number): number {
    return this.#roster.size(this.#members.aliveIds(nowMs), nowMs);
  }
}
