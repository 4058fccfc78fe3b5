/** Settings as they come from the table or a peer, checked before use. */

import { err, ok, type Result } from "neverthrow";
import type { Row } from "@chestnuthatch/wire/platform_protocol";
import type { SettingsInForce } from "./policy.ts";
import { readSettings } from "./read_tree.ts";
import type { SettingsFault } from "./settings_fault.ts";
import { buildSettings } from "./settings_in_force.ts";
import {
  readVersionRow,
  type RowFault,
  RowFaultKind,
  type SettingsHead,
  type SettingsVersion,
} from "./settings_rows.ts";

/** A version with what it resolves to. */
export interface ReceivedSettings {
  readonly version: number;
  readonly changeId: string;
  readonly content: string;
  readonly settings: SettingsInForce;
}

/** Why settings that came in are not taken. */
export interface ReceivedFault {
  /** Set where the row itself cannot be read. */
  readonly row?: RowFault;
  /** Faults of the content. */
  readonly faults: readonly SettingsFault[];
}

/** A version as the table or a peer names it. */
export type OfferedSettings = Pick<
  SettingsVersion,
  "version" | "changeId" | "content"
>;

/**
 * Takes the row of the version that the head names.
 *
 * @param head The head that was read.
 * @param row The row of its version.
 * @returns The settings, or why they are not taken.
 */
export function settingsFromRow(
  head: SettingsHead,
  row: Row,
): Result<ReceivedSettings, ReceivedFault> {
  return readVersionRow(row)
    .andThen((version) => checkHead(version, { head, row }))
    .mapErr((fault): ReceivedFault => ({ row: fault, faults: [] }))
    .andThen(settingsFromOffer);
}

/**
 * Takes settings that a peer offers.
 *
 * @param offer Version, change and content.
 * @returns The settings, or why they are not taken.
 */
export function settingsFromOffer(
  offer: OfferedSettings,
): Result<ReceivedSettings, ReceivedFault> {
  const { version, changeId, content } = offer;
  return readSettings(content)
    .map((tree) => ({
      version,
      changeId,
      content,
      settings: buildSettings(tree, version),
    }))
    .mapErr((faults) => ({ faults }));
}

function checkHead(
  version: SettingsVersion,
  { head, row }: { readonly head: SettingsHead; readonly row: Row },
): Result<SettingsVersion, RowFault> {
  const agrees = version.version === head.version &&
    version.changeId === head.changeId;
  if (agrees) return ok(version);
  return err({
    kind: RowFaultKind.WrongKey,
    key: row.key,
    message: `the head names version ${head.version}, change ${head.changeId}`,
  });
}
