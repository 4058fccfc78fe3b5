/** Which headers concern a message as a whole, and not one connection. */

const ONE_CONNECTION = new Set([
  "connection",
  "keep-alive",
  "proxy-authenticate",
  "proxy-authorization",
  "proxy-connection",
  "te",
  "trailer",
  "transfer-encoding",
  "upgrade",
]);

/** Told anew on each connection, by whoever sends the body there. */
const OF_THE_BODY = new Set(["content-length", "expect"]);

/**
 * Leaves out the headers of one connection and those of the body's length.
 *
 * @param rawHeaders Names and values, one after the other.
 * @returns The others, unchanged and in their order.
 */
export function endToEndHeaders(rawHeaders: readonly string[]): string[] {
  const named = namedByConnection(rawHeaders);
  const kept: string[] = [];
  for (let i = 0; i + 1 < rawHeaders.length; i += 2) {
    const name = rawHeaders[i]!.toLowerCase();
    const isLeftOut = ONE_CONNECTION.has(name) || OF_THE_BODY.has(name) ||
      named.has(name);
    if (!isLeftOut) {
      kept.push(rawHeaders[i]!, rawHeaders[i + 1]!);
    }
  }
  return kept;
}

/** Names that the sender's `Connection` headers declare its own. */
function namedByConnection(rawHeaders: readonly string[]): Set<string> {
  const names = new Set<string>();
  for (let i = 0; i + 1 < rawHeaders.length; i += 2) {
    if (rawHeaders[i]!.toLowerCase() === "connection") {
      for (const name of rawHeaders[i + 1]!.split(",")) {
        names.add(name.trim().toLowerCase());
      }
    }
  }
  return names;
}
