/** Filter for the end-to-end headers of a message (RFC 9110, section 7.6.1). */

/** Headers that apply to one connection and are not forwarded. */
const HOP_BY_HOP_HEADERS = new Set([
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

/** Headers that whoever sends the body sets anew on each connection. */
const BODY_FRAMING_HEADERS = new Set(["content-length", "expect"]);

/**
 * Removes hop-by-hop headers, and those that the sender of the body sets.
 *
 * @param rawHeaders Names and values, alternating.
 * @returns The remaining names and values, unchanged and in the same order.
 */
export function endToEndHeaders(rawHeaders: readonly string[]): string[] {
  const named = namesInConnectionHeaders(rawHeaders);
  const kept: string[] = [];
  for (let i = 0; i + 1 < rawHeaders.length; i += 2) {
    const name = rawHeaders[i]!.toLowerCase();
    const isLeftOut = HOP_BY_HOP_HEADERS.has(name) ||
      BODY_FRAMING_HEADERS.has(name) ||
      named.has(name);
    if (!isLeftOut) {
      kept.push(rawHeaders[i]!, rawHeaders[i + 1]!);
    }
  }
  return kept;
}

/** Returns the lower-case header names listed in `Connection` headers. */
function namesInConnectionHeaders(rawHeaders: readonly string[]): Set<string> {
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
