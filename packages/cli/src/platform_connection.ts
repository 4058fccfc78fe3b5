/** Connects commands to the platform. */

import {
  type PlatformFault,
  PlatformHttp,
} from "@chestnuthatch/daemon/platform_http";
import type { Result } from "neverthrow";
import {
  badInput,
  type CommandFailure,
  type CommandReport,
} from "./command_result.ts";
import { ExitCode } from "./exit_code.ts";
import { PLATFORM_VARIABLE, type PlatformOptions } from "./shared_options.ts";

/** The process's monotonic clock. */
export const PROCESS_CLOCK = { nowMs: () => performance.now() };

/**
 * Opens a connection to the platform, runs an action with it and closes it.
 *
 * @param options Address of the platform.
 * @param run The action.
 * @returns Result of the action, or a failure if no address is given.
 */
export async function withPlatform<T = CommandReport>(
  options: PlatformOptions,
  run: (platform: PlatformHttp) => Promise<Result<T, CommandFailure>>,
): Promise<Result<T, CommandFailure>> {
  if (options.platform === undefined) {
    return badInput({
      message: "The platform's address is not known.",
      next: `Give --platform host:port, or set ${PLATFORM_VARIABLE}.`,
    });
  }
  const platform = new PlatformHttp({
    address: options.platform,
    clock: PROCESS_CLOCK,
  });
  try {
    return await run(platform);
  } finally {
    await platform.stop();
  }
}

/**
 * Creates the failure for a failed read of the platform's table.
 *
 * @param fault Why the read failed.
 * @returns The failure, which says that nothing was changed.
 */
export function tableReadFailure(fault: PlatformFault): CommandFailure {
  return {
    exitCode: ExitCode.Failed,
    message: `The platform's table cannot be read (${fault}); ` +
      "nothing was changed.",
    next: "Check --platform and the platform itself, then try again. " +
      "Instances go on with the settings they have.",
    detail: { fault },
  };
}
