/** Timeout after which a silent member of the fleet counts as failed. */

/**
 * Time without a heartbeat after which a member counts as failed, in
 * milliseconds: four heartbeat intervals, so that a live member is only
 * declared failed if three heartbeats in a row are lost.
 */
export const MEMBER_TIMEOUT_MS = 900;
