/** Addresses of the form `ip:port`. */

/** Host and port of a socket address. */
export interface HostPort {
  readonly host: string;
  readonly port: number;
}

/**
 * Parses an address.
 *
 * @param address An IPv4 address or host name and a port, as `ip:port`.
 * @returns The host and the port.
 */
export function hostPortOf(address: string): HostPort {
  const [host, port] = address.split(":");
  return { host: host!, port: Number(port) };
}
