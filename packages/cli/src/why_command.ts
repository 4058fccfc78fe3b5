/** `chestnuthatch why`: explains how one request was processed. */

import type { Command } from "commander";
import { err, ok } from "neverthrow";
import {
  type CommandResult,
  failed,
  outcomeUnknown,
} from "./command_result.ts";
import type { CommandRunner, OutputOptions } from "./command_runner.ts";
import {
  instanceAddresses,
  type InstanceAnswers,
  type InstanceExplanation,
  readExplanations,
  type SilentInstance,
} from "./instance_queries.ts";
import {
  mergeExplanations,
  type RequestTimeline,
  type TimelineStep,
} from "./request_timeline.ts";
import {
  examples,
  instanceOption,
  type InstanceOptions,
  jsonOption,
} from "./shared_options.ts";

type WhyOptions = InstanceOptions & OutputOptions;

/** Explanations of a request, and the instances that gave no answer. */
interface FoundExplanations {
  readonly explanations: readonly InstanceExplanation[];
  readonly silent: readonly SilentInstance[];
}

/**
 * Adds the command `why`.
 *
 * @param parent The program, to which the command is added.
 * @param runner Runs the action and prints its result.
 */
export function addWhyCommand(parent: Command, runner: CommandRunner): void {
  parent.command("why")
    .description(
      "Tells where a request waited, who granted it, and how it ended.",
    )
    .argument("<request-id>", "as its answer or refusal carries it")
    .addOption(instanceOption())
    .addOption(jsonOption())
    .addHelpText(
      "after",
      examples(
        "why 2b9c8279-8027-4d87-8be8-5f75bce58ba9 --instance 10.0.1.5:8080",
      ),
    )
    .action((requestId: string, options: WhyOptions) =>
      runner.perform(options, () => explainRequest(requestId, options))
    );
}

async function explainRequest(
  requestId: string,
  options: WhyOptions,
): Promise<CommandResult> {
  const addresses = instanceAddresses(options);
  if (addresses.isErr()) {
    return err(addresses.error);
  }
  const found = await findExplanations(addresses.value, requestId);
  if (found.explanations.length === 0) {
    return notFound(requestId, found.silent);
  }
  const timeline = mergeExplanations(requestId, found.explanations);
  const { silent } = found;
  return ok({
    text: timelineText(timeline, silent),
    json: { ...timeline, silent },
  });
}

/**
 * Reads the explanations of a request. Coordinators record a joined call only
 * under the id of the request that it joined, so that id is queried as well.
 */
async function findExplanations(
  addresses: readonly string[],
  requestId: string,
): Promise<FoundExplanations> {
  const answers = await readExplanations(addresses, requestId);
  const explanations = knownExplanations(answers);
  const joinedId = explanations
    .map(({ explanation }) => explanation.joinedRequestId)
    .find((id) => id !== undefined && id !== requestId);
  if (joinedId === undefined) {
    return { explanations, silent: answers.silent };
  }
  const joinedExplanations = knownExplanations(
    await readExplanations(addresses, joinedId),
  );
  const ownIds = new Set(explanations.map(({ instanceId }) => instanceId));
  const others = joinedExplanations.filter(({ instanceId }) =>
    !ownIds.has(instanceId)
  );
  return { explanations: [...explanations, ...others], silent: answers.silent };
}

function knownExplanations(
  { answers }: InstanceAnswers<InstanceExplanation | undefined>,
): InstanceExplanation[] {
  return answers.map(({ value }) => value).filter((value) =>
    value !== undefined
  );
}

function notFound(
  requestId: string,
  silent: readonly SilentInstance[],
): CommandResult {
  if (silent.length > 0) {
    const addresses = silent.map(({ address }) => address).join(", ");
    return outcomeUnknown({
      message: `No instance that answered has a record of ${requestId}; ` +
        `${addresses} gave no answer.`,
      next: "Try again once these can be reached.",
      detail: { requestId, silent },
    });
  }
  return failed({
    message: `No queried instance has a record of ${requestId}.`,
    next: "Check the id, and give every instance: each keeps records only of " +
      "its latest requests, and loses them when it restarts.",
    detail: { requestId },
  });
}

function timelineText(
  timeline: RequestTimeline,
  silent: readonly SilentInstance[],
): string {
  return [
    ...headerLines(timeline),
    ...timeline.steps.map(stepLine),
    ...outcomeLines(timeline),
    ...silent.map(({ address, reason }) =>
      `${address} gave no answer: ${reason}`
    ),
  ].join("\n");
}

function headerLines(
  { requestId, holderId, holder }: RequestTimeline,
): string[] {
  if (holder === undefined) {
    return [
      `Request ${requestId}: its holder was not found among the queried instances.`,
    ];
  }
  const { workspace, tier, pool, joinedRequestId } = holder;
  return [
    `Request ${requestId} of ${workspace}, tier ${tier}, for ${pool}; ` +
    `held by ${holderId}.`,
    ...joinedRequestId === undefined
      ? []
      : [`It joined request ${joinedRequestId} under the same key.`],
  ];
}

function stepLine(
  { instanceId, sinceFirstMs, by, text }: TimelineStep,
): string {
  return `  +${Math.round(sinceFirstMs)} ms ${instanceId} (${by}): ${text}`;
}

function outcomeLines({ holder }: RequestTimeline): string[] {
  if (holder?.outcome === undefined) {
    return [`State: ${holder?.state ?? "unknown"}.`];
  }
  const { refusal, targetId, waitedMs, totalMs } = holder.outcome;
  if (refusal !== undefined) {
    return [
      `Refused: ${refusal.error}, ${refusal.ran}. ${refusal.message}`,
    ];
  }
  return [
    `Answered by ${targetId} after ${Math.round(totalMs ?? 0)} ms, ` +
    `${Math.round(waitedMs ?? 0)} ms of them waiting.`,
  ];
}
