/** `chestnuthatch why`: tells the story of one request. */

import type { Command } from "commander";
import { err, ok } from "neverthrow";
import {
  type CommandResult,
  failed,
  outcomeUnknown,
} from "./command_result.ts";
import type { CommandRunner, OutputOptions } from "./command_runner.ts";
import {
  type InstanceAnswers,
  instancesOf,
  type InstanceStory,
  readStories,
  type SilentInstance,
} from "./instance_reads.ts";
import {
  type MergedStory,
  mergeStories,
  type StoryStep,
} from "./request_story.ts";
import {
  examples,
  instanceOption,
  type InstanceOptions,
  jsonOption,
} from "./shared_options.ts";

type WhyOptions = InstanceOptions & OutputOptions;

interface FoundStories {
  readonly stories: readonly InstanceStory[];
  readonly silent: readonly SilentInstance[];
}

/**
 * Adds the command.
 *
 * @param parent The command line.
 * @param runner Runs it.
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
      runner.perform(options, () => tellWhy(requestId, options))
    );
}

async function tellWhy(
  requestId: string,
  options: WhyOptions,
): Promise<CommandResult> {
  const addresses = instancesOf(options);
  if (addresses.isErr()) {
    return err(addresses.error);
  }
  const found = await findStories(addresses.value, requestId);
  if (found.stories.length === 0) {
    return notFound(requestId, found.silent);
  }
  const merged = mergeStories(requestId, found.stories);
  const { silent } = found;
  return ok({ text: storyText(merged, silent), json: { ...merged, silent } });
}

/** Coordinators know a joined call only by the request that it joined. */
async function findStories(
  addresses: readonly string[],
  requestId: string,
): Promise<FoundStories> {
  const answers = await readStories(addresses, requestId);
  const stories = known(answers);
  const joinedId = stories
    .map(({ story }) => story.joinedRequestId)
    .find((id) => id !== undefined && id !== requestId);
  if (joinedId === undefined) {
    return { stories, silent: answers.silent };
  }
  const ofJoined = known(await readStories(addresses, joinedId));
  const ownIds = new Set(stories.map(({ instanceId }) => instanceId));
  const others = ofJoined.filter(({ instanceId }) => !ownIds.has(instanceId));
  return { stories: [...stories, ...others], silent: answers.silent };
}

function known(
  { answers }: InstanceAnswers<InstanceStory | undefined>,
): InstanceStory[] {
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
      message: `No instance that answered remembers ${requestId}; ` +
        `${addresses} gave no answer.`,
      next: "Ask again once these can be reached.",
      detail: { requestId, silent },
    });
  }
  return failed({
    message: `No instance asked remembers ${requestId}.`,
    next: "Check the id, and give every instance: each remembers only its " +
      "latest requests, and none outlives a restart.",
    detail: { requestId },
  });
}

function storyText(
  merged: MergedStory,
  silent: readonly SilentInstance[],
): string {
  return [
    ...headLines(merged),
    ...merged.steps.map(stepLine),
    ...endLines(merged),
    ...silent.map(({ address, reason }) =>
      `${address} gave no answer: ${reason}`
    ),
  ].join("\n");
}

function headLines({ requestId, holderId, holder }: MergedStory): string[] {
  if (holder === undefined) {
    return [
      `Request ${requestId}: its holder was not found among those asked.`,
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

function stepLine({ instanceId, sinceFirstMs, by, text }: StoryStep): string {
  return `  +${Math.round(sinceFirstMs)} ms ${instanceId} (${by}): ${text}`;
}

function endLines({ holder }: MergedStory): string[] {
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
