/** Renders events and effects as lines of the golden texts. */

import { hash32 } from "@chestnuthatch/core/text_hash";
import { type Effect, EffectKind } from "@chestnuthatch/core/effects";

const MAX_TEXT_CHARACTERS = 400;

/**
 * Returns the label by which a session file hides an effect: its kind, or the
 * kind of the peer message that it sends.
 *
 * @param effect The effect.
 * @returns A value of `EffectKind` or `PeerMessageKind`.
 */
export function effectLabel(effect: Effect): string {
  return effect.kind === EffectKind.SendPeer
    ? effect.message.kind
    : effect.kind;
}

/**
 * Renders an effect; one that sends a peer message shows receiver and message.
 *
 * @param effect The effect.
 * @returns Text on one line.
 */
export function renderEffect(effect: Effect): string {
  if (effect.kind !== EffectKind.SendPeer) return renderFields(effect);
  return `send ${effect.peerId}: ${renderFields(effect.message)}`;
}

/**
 * Renders an object with a kind: the kind first, then its fields by name.
 *
 * @param item An event, an effect or a peer message.
 * @returns Text on one line.
 */
export function renderFields(item: { readonly kind: string }): string {
  const fields = Object.entries(item)
    .filter(([name, value]) => name !== "kind" && value !== undefined)
    .sort(([a], [b]) => (a < b ? -1 : 1))
    .map(([name, value]) => `${name}=${renderValue(value)}`);
  return [item.kind, ...fields].join(" ");
}

/**
 * Renders a value: objects in the order of their keys, and texts of more than
 * 400 characters by their length and hash.
 *
 * @param value Any JSON value.
 * @returns Text on one line.
 */
export function renderValue(value: unknown): string {
  if (typeof value === "string") return renderText(value);
  if (Array.isArray(value)) return `[${value.map(renderValue).join(", ")}]`;
  if (typeof value !== "object" || value === null) return String(value);
  const fields = Object.entries(value)
    .filter(([, field]) => field !== undefined)
    .sort(([a], [b]) => (a < b ? -1 : 1))
    .map(([name, field]) => `${name}: ${renderValue(field)}`);
  return `{${fields.join(", ")}}`;
}

function renderText(text: string): string {
  if (text.length > MAX_TEXT_CHARACTERS) {
    return `<${text.length} characters, hash ${hash32(text).toString(16)}>`;
  }
  return /^[\w@/.:-]+$/.test(text) ? text : JSON.stringify(text);
}
