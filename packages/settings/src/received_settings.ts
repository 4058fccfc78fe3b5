/** Validates settings received from the platform's table or from a peer. */

import { err, ok, type Result } from "neverthrow";
import type { Row } from "@chestnuthatch/wire/platform_protocol";
import type { SettingsInForce } from "./settings_types.ts";
import { readSettings } from "./read_settings.ts";
import type { SettingsFault } from "./settings_fault.ts";
import { resolveSettings } from "./resolve_settings.ts";
import {
  readVersionRow,
  type RowFault,
  RowFaultKind,
  type SettingsHead,
  type SettingsVersion,
} from "./settings_rows.ts";

/** A received version of the settings that passed all checks. */
export interface ReceivedSettings {
  readonly version: number;
  readonly changeId: string;
  /** Settings tree, as YAML. */
  readonly content: string;
  /** Resolved settings of the content. */
  readonly settings: SettingsInForce;
}

/** Why received settings were rejected. */
export interface SettingsRejection {
  /** Fault of the row; absent where the row is valid or was not involved. */
  readonly row?: RowFault;
  /** Faults of the content; empty where the row is at fault. */
  readonly faults: readonly SettingsFault[];
}

/** A version of the settings as the table or a peer sends it, unchecked. */
export type OfferedSettings = Pick<
  SettingsVersion,
  "version" | "changeId" | "content"
>;

/**
 * Validates the row of the version that the head names, and its content.
 *
 * @param head Value of the head row.
 * @param row Row of the version that the head names.
 * @returns The resolved settings, or why they are rejected.
 */
export function settingsFromRow(
  head: SettingsHead,
  row: Row,
): Result<ReceivedSettings, SettingsRejection> {
  return readVersionRow(row)
    .andThen((version) => checkAgainstHead(version, { head, row }))
    .mapErr((fault): SettingsRejection => ({ row: fault, faults: [] }))
    .andThen(settingsFromOffer);
}

/**
 * Validates settings that a peer offers.
 *
 * @param offer Version, change id and content.
 * @returns The resolved settings, or why they are rejected.
 */
export function settingsFromOffer(
  offer: OfferedSettings,
): Result<ReceivedSettings, SettingsRejection> {
  const { version, changeId, content } = offer;
  return readSettings(content)
    .map((tree) => ({
      version,
      changeId,
      content,
      settings: resolveSettings(tree, version),
    }))
    .mapErr((faults) => ({ faults }));
}

function checkAgainstHead(
  version: SettingsVersion,
  { head, row }: { readonly head: SettingsHead; readonly row: Row },
): Result<SettingsVersion, RowFault> {
  const matches = version.version === head.version &&
    version.changeId === head.changeId;
  if (matches) return ok(version);
  return err({
    kind: RowFaultKind.WrongKey,
    key: row.key,
    message: `the head names version ${head.version}, change ${head.changeId}`,
  });
}
