/** Members of the fleet, as an instance knows and announces them. */

/** Record of one entry instance of the fleet, kept by this instance. */
export interface MemberRecord {
  readonly instanceId: string;
  /** `ip:port` of its peer socket. */
  readonly address: string;
  readonly failureDomain: string;
  /**
   * Start of the instance's process by its clock, in milliseconds since the
   * epoch; increases with every start unless the clock was set back.
   */
  readonly incarnation: number;
  /** Whether it has announced that it is shutting down. */
  readonly leaving: boolean;
  /** Processor cores that it may use, possibly a fraction. */
  readonly cores: number;
  /** Whether it has announced that it is too slow to coordinate. */
  readonly standsAside?: boolean;
  /** Local time of its last heartbeat; -Infinity before the first one. */
  readonly lastHeartbeatAtMs: number;
}

/**
 * Description of a member, as it is sent in its own heartbeats, in those of
 * other members, or listed by the platform.
 */
export type MemberInfo = Omit<MemberRecord, "lastHeartbeatAtMs">;
