/** Parses settings and describes their faults to operators. */

import { readSettings } from "@chestnuthatch/settings/read_settings";
import {
  describeFault,
  type SettingsFault,
} from "@chestnuthatch/settings/settings_fault";
import type { SettingsTree } from "@chestnuthatch/settings/tree_schema";
import type { Result } from "neverthrow";
import type { CommandFailure } from "./command_result.ts";
import { ExitCode } from "./exit_code.ts";

/**
 * Parses and validates settings.
 *
 * @param content The settings as YAML.
 * @param source Origin of the settings, such as the path of a file.
 * @returns The settings tree, or a failure that lists all faults.
 */
export function parseTree(
  content: string,
  source: string,
): Result<SettingsTree, CommandFailure> {
  return readSettings(content)
    .mapErr((faults) => settingsFaultFailure(source, faults));
}

/**
 * Creates the failure for settings with faults.
 *
 * @param source Origin of the settings, such as the path of a file.
 * @param faults Faults of the settings.
 * @returns A failure that lists all faults.
 */
export function settingsFaultFailure(
  source: string,
  faults: readonly SettingsFault[],
): CommandFailure {
  const lines = faults.map((fault) => `  ${describeFault(fault)}`);
  return {
    exitCode: ExitCode.BadInput,
    message: [`${source} has ${faultCountText(faults.length)}:`, ...lines].join(
      "\n",
    ),
    next: "Correct them and check again: chestnuthatch settings check FILE",
    detail: { source, faults },
  };
}

function faultCountText(faults: number): string {
  return faults === 1 ? "1 fault" : `${faults} faults`;
}
