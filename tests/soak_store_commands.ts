/** Messages between the soak and the process of its store. */

import type { StoreMode } from "@chestnuthatch/platform/standin_store";

/** Kinds of commands. */
export enum StoreCommandKind {
  Put = "put",
  ReadContent = "content_of",
  SetMode = "set_mode",
  DiscardHistory = "forget_history",
  ResetLink = "reset_link",
  CutLink = "cut_link",
  FreezeLink = "freeze_link",
  HealLink = "heal_link",
  SilenceLink = "silence_link",
}

/** Arguments of commands, by kind. */
export interface StoreCommandArguments {
  [StoreCommandKind.Put]: { table: string; key: string; content?: unknown };
  [StoreCommandKind.ReadContent]: { table: string; key: string };
  [StoreCommandKind.SetMode]: { mode: StoreMode };
  [StoreCommandKind.DiscardHistory]: Record<string, never>;
  [StoreCommandKind.ResetLink]: Record<string, never>;
  [StoreCommandKind.CutLink]: Record<string, never>;
  [StoreCommandKind.FreezeLink]: Record<string, never>;
  [StoreCommandKind.HealLink]: Record<string, never>;
  [StoreCommandKind.SilenceLink]: { share: number };
}

/** A command; commands are executed in the order in which they are sent. */
export interface StoreCommand<K extends StoreCommandKind = StoreCommandKind> {
  readonly id: number;
  readonly kind: K;
  readonly with: StoreCommandArguments[K];
}

/**
 * A message of the store's process: its address first, then command results.
 */
export type StoreReply =
  | { readonly address: string }
  | { readonly id: number; readonly result?: unknown };
