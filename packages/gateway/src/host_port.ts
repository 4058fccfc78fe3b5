/** Addresses of the form `ip:port`. */

/** The two parts of an address. */
export interface HostPort {
  readonly host: string;
  readonly port: number;
}

/**
 * @param address `ip:port`.
 * @returns Its parts.
 */
export function hostPortOf(address: string): HostPort {
  const [host, port] = address.split(":");
  return { host: host!, port: Number(port) };
}
