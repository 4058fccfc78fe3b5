/** `chestnuthatch status`: shows the merged status of all given instances. */

import type { Command } from "commander";
import { err, ok } from "neverthrow";
import type { CommandResult } from "./command_result.ts";
import type {
  CommandRunner,
  CommandServices,
  OutputOptions,
} from "./command_runner.ts";
import { ExitCode } from "./exit_code.ts";
import { type FleetStatus, mergeStatuses } from "./fleet_status.ts";
import { instanceAddresses, readStatuses } from "./instance_queries.ts";
import { withPlatform } from "./platform_connection.ts";
import { SettingsStore } from "./settings_store.ts";
import { parseTree } from "./settings_text.ts";
import {
  examples,
  instanceOption,
  type InstanceOptions,
  jsonOption,
  platformOption,
  type PlatformOptions,
} from "./shared_options.ts";
import { statusText } from "./status_text.ts";

type StatusOptions = InstanceOptions & PlatformOptions & OutputOptions;

/**
 * Adds the command `status`.
 *
 * @param parent The program, to which the command is added.
 * @param runner Runs the action and prints its result.
 */
export function addStatusCommand(
  parent: Command,
  runner: CommandRunner,
): void {
  parent.command("status")
    .description("Shows instances, coordinators, targets, queues and versions.")
    .addOption(instanceOption())
    .addOption(platformOption())
    .addOption(jsonOption())
    .addHelpText(
      "after",
      examples(
        "status --instance 10.0.1.5:8080 --instance 10.0.2.5:8080",
        "status --platform 10.0.0.9:9000 --json",
      ),
    )
    .action((options: StatusOptions) =>
      runner.perform(options, () => showStatus(runner.services, options))
    );
}

async function showStatus(
  services: CommandServices,
  options: StatusOptions,
): Promise<CommandResult> {
  const addresses = instanceAddresses(options);
  if (addresses.isErr()) {
    return err(addresses.error);
  }
  const answers = await readStatuses(addresses.value);
  const status = mergeStatuses(answers);
  const marked = options.platform === undefined
    ? status
    : await withDraining(status, services, options);
  const exitCode = answers.answers.length > 0 ? ExitCode.Done : ExitCode.Failed;
  return ok({ text: statusText(marked), json: marked, exitCode });
}

/**
 * Marks the targets that the current settings drain. Returns the status without
 * marks if the table cannot be read.
 */
async function withDraining(
  status: FleetStatus,
  services: CommandServices,
  options: PlatformOptions,
): Promise<FleetStatus> {
  const tree = await withPlatform(options, async (platform) => {
    const store = new SettingsStore(platform, services.sleep);
    return (await store.readCurrent()).andThen(({ value }) =>
      parseTree(value.content, `Version ${value.version}`)
    );
  });
  return tree.match(
    ({ targets }) => ({
      ...status,
      targets: status.targets.map((target) => ({
        ...target,
        draining: targets[target.targetId]?.draining,
      })),
    }),
    () => status,
  );
}
