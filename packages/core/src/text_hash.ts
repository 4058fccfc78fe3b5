/**
 * Fast non-cryptographic hashes of texts and bytes. All instances must
 * compute the same hashes, since they choose a shard's coordinator by them.
 */

const FNV_OFFSET = 0x811c9dc5;
const FNV_PRIME = 0x01000193;

/**
 * Hashes a text to 32 bits (FNV-1a over UTF-16 code units, then a final mix).
 *
 * @param text Any text.
 * @returns An unsigned 32-bit number.
 */
export function hash32(text: string): number {
  let hash = FNV_OFFSET;
  for (let i = 0; i < text.length; i++) {
    hash = Math.imul(hash ^ text.charCodeAt(i), FNV_PRIME);
  }
  hash ^= hash >>> 16;
  hash = Math.imul(hash, 0x7feb352d);
  hash ^= hash >>> 15;
  return hash >>> 0;
}

const HEX_RADIX = 16;
const HEX_DIGITS_PER_HALF = 8;

/** Differs from the first half, so that both do not collide for one input. */
const SECOND_OFFSET = 0x2f0b4c47;
const SECOND_PRIME = 0x85ebca6b;

/**
 * Hashes bytes to 64 bits, wide enough to identify the bytes by their hash.
 *
 * @param bytes Any bytes.
 * @returns Sixteen hexadecimal digits.
 */
export function hash64Hex(bytes: Uint8Array): string {
  let first = FNV_OFFSET;
  let second = SECOND_OFFSET;
  for (let i = 0; i < bytes.length; i++) {
    const byte = bytes[i]!;
    first = Math.imul(first ^ byte, FNV_PRIME);
    second = Math.imul(second ^ byte, SECOND_PRIME);
    second = (second << 13) | (second >>> 19);
  }
  return toHex32(first) + toHex32(second);
}

function toHex32(hash: number): string {
  return (hash >>> 0).toString(HEX_RADIX).padStart(HEX_DIGITS_PER_HALF, "0");
}
