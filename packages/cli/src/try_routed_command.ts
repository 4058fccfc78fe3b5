/**
 * `chestnuthatch try-routed`: runs instances that pass requests through
 * unchanged, on stand-ins.
 */

import {
  runTrial,
  type TrialOutcome,
} from "@chestnuthatch/platform/standin_trial";
import type { Command } from "commander";
import { ok } from "neverthrow";
import type { CommandResult } from "./command_result.ts";
import type { CommandRunner, OutputOptions } from "./command_runner.ts";
import { ExitCode } from "./exit_code.ts";
import { examples, jsonOption, positiveNumber } from "./shared_options.ts";
import { sectionLines } from "./text_table.ts";

interface TryRoutedOptions extends OutputOptions {
  readonly seconds: number;
  readonly rate: number;
}

const MAX_DURATION_S = 600;
const MAX_RATE_PER_S = 200;

/**
 * Adds the command `try-routed`.
 *
 * @param parent The program, to which the command is added.
 * @param runner Runs the action and prints its result.
 */
export function addTryRoutedCommand(
  parent: Command,
  runner: CommandRunner,
): void {
  parent.command("try-routed")
    .description(
      "Starts instances that pass requests through, on embedded stand-ins.",
    )
    .option(
      "--seconds <n>",
      "how long requests arrive",
      positiveNumber(MAX_DURATION_S),
      10,
    )
    .option(
      "--rate <n>",
      "requests a second",
      positiveNumber(MAX_RATE_PER_S),
      20,
    )
    .addOption(jsonOption())
    .addHelpText("after", examples("try-routed", "try-routed --rate 50"))
    .action((options: TryRoutedOptions) =>
      runner.perform(options, () => tryRouted(options))
    );
}

async function tryRouted(options: TryRoutedOptions): Promise<CommandResult> {
  const { seconds, rate: ratePerS } = options;
  const outcome = await runTrial({ durationS: seconds, ratePerS });
  const violations = outcome.runTooOften + outcome.ranThoughRefused;
  return ok({
    text: outcomeText(outcome),
    json: outcome,
    exitCode: violations === 0 ? ExitCode.Done : ExitCode.Failed,
  });
}

function outcomeText(
  { routes, runTooOften, ranThoughRefused }: TrialOutcome,
): string {
  const rows = routes.map((route) =>
    [route.path, route.calls, route.whole, route.refused, route.failed]
      .map(String)
  );
  return [
    ...sectionLines("Requests by route", [
      ["route", "sent", "answered", "refused", "failed"],
      ...rows,
    ]),
    `Ran more often than allowed: ${runTooOften}`,
    `Ran though told not to have: ${ranThoughRefused}`,
  ].join("\n");
}
