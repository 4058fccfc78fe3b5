/** `chestnuthatch send`: sends one request and prints its outcome. */

import type {
  CallerAnswer,
  CallerRefusal,
  CallerRequest,
} from "@chestnuthatch/wire/caller_protocol";
import { ErrorKind, RunState } from "@chestnuthatch/wire/shared_types";
import { type Command, Option } from "commander";
import { err, ok, type Result } from "neverthrow";
import {
  badInput,
  type CommandFailure,
  type CommandReport,
  type CommandResult,
} from "./command_result.ts";
import type {
  CommandRunner,
  CommandServices,
  OutputOptions,
} from "./command_runner.ts";
import { ExitCode } from "./exit_code.ts";
import { instanceAddresses } from "./instance_queries.ts";
import { readTextFile } from "./read_file.ts";
import { sendRequest, type SentOutcome } from "./send_request.ts";
import {
  examples,
  instanceOption,
  type InstanceOptions,
  jsonOption,
  wholeNumber,
} from "./shared_options.ts";

interface SendOptions extends InstanceOptions, OutputOptions {
  readonly workspace: string;
  readonly tier: string;
  readonly pool: string;
  readonly body?: string;
  readonly bodyFile?: string;
  readonly promptTokens?: number;
  readonly maxOutputTokens?: number;
  readonly deadlineMs?: number;
  readonly idempotent?: boolean;
  readonly idempotencyKey?: string;
  readonly stream: boolean;
}

/** Exit codes of refusals that the caller's input does not cause. */
const EXIT_CODE_BY_RUN_STATE: Readonly<
  Record<RunState, CommandFailure["exitCode"]>
> = {
  [RunState.NotRun]: ExitCode.Failed,
  [RunState.MayHaveRun]: ExitCode.OutcomeUnknown,
  [RunState.Ran]: ExitCode.OutcomeUnknown,
};

/** Errors that invalid input of the caller causes. */
const INPUT_ERRORS: ReadonlySet<ErrorKind> = new Set([
  ErrorKind.BadRequest,
  ErrorKind.UnknownWorkspace,
  ErrorKind.UnknownTier,
  ErrorKind.UnknownPool,
  ErrorKind.PromptTooLarge,
  ErrorKind.BodyTooLarge,
  ErrorKind.KeyReusedDifferently,
]);

/**
 * Adds the command `send`.
 *
 * @param parent The program, to which the command is added.
 * @param runner Runs the action and prints its result.
 */
export function addSendCommand(parent: Command, runner: CommandRunner): void {
  const count = wholeNumber(1);
  parent.command("send")
    .description("Sends one request to the first instance given.")
    .requiredOption("--workspace <name>", "workspace of the request")
    .requiredOption("--tier <name>", "tier of the request")
    .requiredOption("--pool <name>", "pool that is to serve it")
    .option("--body <text>", "prompt for an engine, body for a service")
    .addOption(
      new Option("--body-file <file>", "file with the body").conflicts("body"),
    )
    .option("--prompt-tokens <n>", "length of the prompt", count)
    .option("--max-output-tokens <n>", "bound on the answer's length", count)
    .option("--deadline-ms <n>", "how long to wait for the answer", count)
    .option("--idempotent", "the request may be repeated")
    .option("--no-idempotent", "the request must not run twice")
    .option("--idempotency-key <key>", "makes calls with one key one request")
    .option("--stream", "print the answer as it comes", false)
    .addOption(instanceOption())
    .addOption(jsonOption())
    .addHelpText(
      "after",
      examples(
        "send --workspace meru-plots --tier routine --pool msaidizi --body 'Which blade?' --stream",
        "send --workspace meru-plots --tier urgent --pool kazi-desk --body-file post.txt --no-idempotent --idempotency-key post-7",
      ),
    )
    .action((options: SendOptions) =>
      runner.perform(options, () => send(runner.services, options))
    );
}

async function send(
  services: CommandServices,
  options: SendOptions,
): Promise<CommandResult> {
  const addresses = instanceAddresses(options);
  if (addresses.isErr()) {
    return err(addresses.error);
  }
  const body = readBody(options);
  if (body.isErr()) {
    return err(body.error);
  }
  const [address] = addresses.value;
  const streams = options.stream && !options.json;
  const outcome = await sendRequest(
    address,
    buildRequest(options, body.value),
    {
      onText: (text) => {
        if (streams) {
          services.output.out(text);
        }
      },
    },
  );
  return toCommandResult(outcome, { address, streams });
}

function readBody(
  { body, bodyFile }: SendOptions,
): Result<string, CommandFailure> {
  if (bodyFile !== undefined) {
    return readTextFile(bodyFile);
  }
  return body !== undefined ? ok(body) : badInput({
    message: "The request has no body.",
    next: "Give --body TEXT or --body-file FILE.",
  });
}

function buildRequest(options: SendOptions, body: string): CallerRequest {
  const { workspace, tier, pool, idempotent, idempotencyKey } = options;
  const { promptTokens, maxOutputTokens, deadlineMs, stream } = options;
  return {
    workspace,
    tier,
    pool,
    body,
    promptTokens,
    maxOutputTokens,
    deadlineMs,
    idempotent,
    idempotencyKey,
    stream,
  };
}

function toCommandResult(
  outcome: SentOutcome,
  of: { readonly address: string; readonly streams: boolean },
): CommandResult {
  if ("answer" in outcome) {
    return ok(answerReport(outcome.answer, of.streams));
  }
  return err(
    "refusal" in outcome
      ? refusalFailure(outcome.refusal)
      : brokenFailure(outcome, of.address),
  );
}

function answerReport(answer: CallerAnswer, streamed: boolean): CommandReport {
  const { requestId, text, targetId, outputTokens } = answer;
  const totalMs = Math.round(answer.totalMs);
  const waitedMs = Math.round(answer.waitedMs);
  const lines = [
    streamed ? "" : text,
    `Request ${requestId}: answered by ${targetId} in ${totalMs} ms, ` +
    `${waitedMs} ms of them waiting; ${outputTokens} tokens.`,
  ];
  return { text: lines.join("\n"), json: answer };
}

function refusalFailure(refusal: CallerRefusal): CommandFailure {
  const { requestId, error, ran, message } = refusal;
  return {
    exitCode: INPUT_ERRORS.has(error)
      ? ExitCode.BadInput
      : EXIT_CODE_BY_RUN_STATE[ran],
    message: `Request ${requestId}: refused (${error}, ${ran}). ${message}`,
    next: `${retryHint(refusal)} For details: chestnuthatch why ${requestId}`,
    detail: { refusal },
  };
}

function retryHint({ mayRetry, retryAfterMs }: CallerRefusal): string {
  if (!mayRetry) {
    return "Sending it again unchanged will not help.";
  }
  return retryAfterMs === undefined
    ? "It may be sent again."
    : `It may be sent again after ${Math.round(retryAfterMs)} ms.`;
}

function brokenFailure(
  { broken, sent }: Extract<SentOutcome, { readonly broken: string }>,
  address: string,
): CommandFailure {
  return sent
    ? {
      exitCode: ExitCode.OutcomeUnknown,
      message: `${address} gave no outcome (${broken}); the request may ` +
        "have run.",
      next:
        "Discard any text received. Send it again if it is idempotent, or " +
        "under the same idempotency key.",
      detail: { sent, reason: broken },
    }
    : {
      exitCode: ExitCode.Failed,
      message: `${address} could not be reached (${broken}); nothing was sent.`,
      next: "Check --instance, or give another instance.",
      detail: { sent, reason: broken },
    };
}
