/** `chestnuthatch settings status`: shows the versions that instances have. */

import type { Command } from "commander";
import { err, ok, type Result } from "neverthrow";
import type { CommandFailure, CommandResult } from "./command_result.ts";
import type {
  CommandRunner,
  CommandServices,
  OutputOptions,
} from "./command_runner.ts";
import { ExitCode } from "./exit_code.ts";
import {
  type FleetStatus,
  liveInstances,
  mergeStatuses,
} from "./fleet_status.ts";
import { instanceAddresses, readStatuses } from "./instance_queries.ts";
import { withPlatform } from "./platform_connection.ts";
import { SettingsStore } from "./settings_store.ts";
import {
  examples,
  instanceOption,
  type InstanceOptions,
  jsonOption,
  platformOption,
  type PlatformOptions,
} from "./shared_options.ts";
import { silentLines, versionLines } from "./status_text.ts";

type StatusOptions = InstanceOptions & PlatformOptions & OutputOptions;

/**
 * Adds the command `settings status`.
 *
 * @param parent The command group `settings`.
 * @param runner Runs the action and prints its result.
 */
export function addSettingsStatusCommand(
  parent: Command,
  runner: CommandRunner,
): void {
  parent.command("status")
    .description(
      "Shows which instances have which version in force; exits with 0 once " +
        "all have the accepted one.",
    )
    .addOption(instanceOption())
    .addOption(platformOption())
    .addOption(jsonOption())
    .addHelpText(
      "after",
      examples(
        "settings status --instance 10.0.1.5:8080 --platform 10.0.0.9:9000",
      ),
    )
    .action((options: StatusOptions) =>
      runner.perform(options, () => showVersions(runner.services, options))
    );
}

async function showVersions(
  services: CommandServices,
  options: StatusOptions,
): Promise<CommandResult> {
  const addresses = instanceAddresses(options);
  if (addresses.isErr()) {
    return err(addresses.error);
  }
  const status = mergeStatuses(await readStatuses(addresses.value));
  const accepted = await acceptedVersion(services, options);
  return ok(versionsReport(status, accepted));
}

/**
 * Reads the accepted version from the table. Returns undefined if no platform
 * address is given.
 */
async function acceptedVersion(
  services: CommandServices,
  options: PlatformOptions,
): Promise<Result<number | undefined, CommandFailure>> {
  if (options.platform === undefined) {
    return ok(undefined);
  }
  return await withPlatform<number | undefined>(options, async (platform) => {
    const head = await new SettingsStore(platform, services.sleep).readHead();
    return head.map(({ version }) => version);
  });
}

function versionsReport(
  status: FleetStatus,
  accepted: Result<number | undefined, CommandFailure>,
) {
  const acceptedVersion = accepted.unwrapOr(undefined);
  const live = liveInstances(status);
  const newest = Math.max(0, ...live.map((each) => each.settingsVersion));
  const wanted = Math.max(acceptedVersion ?? 0, newest);
  const behind = live.filter((each) => each.settingsVersion < wanted)
    .map(({ instanceId }) => instanceId);
  const everywhere = wanted > 0 && behind.length === 0 &&
    status.silent.length === 0 && accepted.isOk();
  const text = [
    ...versionLines(status),
    ...silentLines(status),
    accepted.match(
      (version) => `accepted in the table: ${version ?? "not asked"}`,
      ({ message }) => message,
    ),
    everywhere
      ? `Version ${wanted} is in force everywhere.`
      : `Version ${wanted} is not yet known to be in force everywhere` +
        `${behind.length > 0 ? `; behind: ${behind.join(", ")}` : ""}.`,
  ].join("\n");
  const { versions, silent } = status;
  return {
    text,
    json: { acceptedVersion, everywhere, behind, versions, silent },
    exitCode: everywhere ? ExitCode.Done : ExitCode.Failed,
  };
}
