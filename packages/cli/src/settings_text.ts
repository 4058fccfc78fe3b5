/** Reads a settings text and words its faults for operators. */

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
 * Checks a settings text.
 *
 * @param content The text.
 * @param source Where it comes from, such as a file's path.
 * @returns The tree, or all faults.
 */
export function parseTree(
  content: string,
  source: string,
): Result<SettingsTree, CommandFailure> {
  return readSettings(content)
    .mapErr((faults) => settingsFaultFailure(source, faults));
}

/**
 * Words the faults of a settings text.
 *
 * @param source Where the text comes from.
 * @param faults Its faults.
 * @returns The failure.
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
