/** Peer addresses as text: `host:port`, or `[host]:port` for IPv6. */

const ADDRESS_PATTERN =
  /^(?:\[(?<bracketed>[^\]]+)\]|(?<plain>[^:[\]]+)):(?<port>\d{1,5})$/;
const MAX_PORT = 65535;

/** Host and port at which a peer listens. */
export interface PeerAddress {
  /** Host name or IP address, without brackets. */
  readonly host: string;
  readonly port: number;
}

/**
 * Parses a peer address.
 *
 * @param text Address as `host:port` or `[host]:port`.
 * @returns The address, or null if the text is not a valid one.
 */
export function parsePeerAddress(text: string): PeerAddress | null {
  const groups = ADDRESS_PATTERN.exec(text)?.groups;
  const host = groups?.bracketed ?? groups?.plain;
  const port = Number(groups?.port);
  if (!host || !(port > 0 && port <= MAX_PORT)) return null;
  return { host, port };
}

/**
 * Formats a peer address.
 *
 * @param address Host and port of the peer.
 * @returns Text that `parsePeerAddress` parses.
 */
export function formatPeerAddress({ host, port }: PeerAddress): string {
  return host.includes(":") ? `[${host}]:${port}` : `${host}:${port}`;
}
