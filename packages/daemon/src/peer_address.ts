/** Addresses of peers as text: `host:port`, or `[host]:port` for IPv6. */

const ADDRESS_PATTERN =
  /^(?:\[(?<bracketed>[^\]]+)\]|(?<plain>[^:[\]]+)):(?<port>\d{1,5})$/;
const MAX_PORT = 65535;

/** Where to reach a peer. */
export interface PeerAddress {
  readonly host: string;
  readonly port: number;
}

/**
 * Reads an address.
 *
 * @param text The address as text.
 * @returns The address, or null when the text is none.
 */
export function parsePeerAddress(text: string): PeerAddress | null {
  const groups = ADDRESS_PATTERN.exec(text)?.groups;
  const host = groups?.bracketed ?? groups?.plain;
  const port = Number(groups?.port);
  if (!host || !(port > 0 && port <= MAX_PORT)) return null;
  return { host, port };
}

/**
 * Writes an address.
 *
 * @param address The address.
 * @returns Its text, which `parsePeerAddress` reads.
 */
export function formatPeerAddress({ host, port }: PeerAddress): string {
  return host.includes(":") ? `[${host}]:${port}` : `${host}:${port}`;
}
