/** `chestnuthatch order`: sends one order to one engine, under a lease. */

import {
  type EngineOrder,
  OrderIssuer,
  type OrderOutcome,
  OrderOutcomeKind,
} from "@chestnuthatch/daemon/order_issuer";
import type { PlatformHttp } from "@chestnuthatch/daemon/platform_http";
import { nearestName } from "@chestnuthatch/settings/nearest_name";
import type { SettingsTree } from "@chestnuthatch/settings/tree_schema";
import { OrderKind } from "@chestnuthatch/wire/target_protocol";
import { TargetKind } from "@chestnuthatch/wire/shared_types";
import { Argument, type Command } from "commander";
import { err, ok, type Result } from "neverthrow";
import {
  badInput,
  type CommandFailure,
  type CommandResult,
} from "./command_result.ts";
import type {
  CommandRunner,
  CommandServices,
  OutputOptions,
} from "./command_runner.ts";
import { ExitCode } from "./exit_code.ts";
import { PROCESS_CLOCK, withPlatform } from "./platform_connection.ts";
import { SettingsStore } from "./settings_store.ts";
import { parseTree } from "./settings_text.ts";
import {
  authorOption,
  type AuthorOptions,
  examples,
  jsonOption,
  platformOption,
  type PlatformOptions,
  wholeNumber,
} from "./shared_options.ts";

interface OrderOptions extends PlatformOptions, AuthorOptions, OutputOptions {
  readonly maxOrderDelayMs: number;
}

interface OrderInput {
  readonly targetId: string;
  readonly kind: OrderKind;
  readonly value: string;
}

/** Exit code, summary and hint for one outcome of an order. */
interface OutcomeText {
  readonly exitCode: ExitCode;
  readonly summary: string;
  readonly next: string;
}

const KIND_BY_NAME: Readonly<Record<string, OrderKind>> = {
  "load-model": OrderKind.LoadModel,
  "load-adapter": OrderKind.LoadAdapter,
  "set-version": OrderKind.SetVersion,
  "set-role": OrderKind.SetRole,
};

const OUTCOME_TEXTS: Readonly<Record<OrderOutcomeKind, OutcomeText>> = {
  [OrderOutcomeKind.Obeyed]: {
    exitCode: ExitCode.Done,
    summary: "the target is as ordered",
    next: "",
  },
  [OrderOutcomeKind.NotAsOrdered]: {
    exitCode: ExitCode.Failed,
    summary: "the target answered, but is not as ordered",
    next: "Look at its state; another order may have come after this one.",
  },
  [OrderOutcomeKind.RefusedAsOld]: {
    exitCode: ExitCode.Failed,
    summary: "the target has obeyed a later order and refused this one",
    next: "Look at its state, and give the order again if it is still needed.",
  },
  [OrderOutcomeKind.HeldElsewhere]: {
    exitCode: ExitCode.Failed,
    summary: "another order was given meanwhile; this one was not sent",
    next:
      "Check with its author, and give the order again if it is still needed.",
  },
  [OrderOutcomeKind.LeaseLapsed]: {
    exitCode: ExitCode.Failed,
    summary: "the lease ended before the order could be sent; it was not sent",
    next: "Give the order again.",
  },
  [OrderOutcomeKind.TargetUnreachable]: {
    exitCode: ExitCode.Failed,
    summary: "the target could not be reached; the order was not sent",
    next: "Check the target and its address in the settings, then try again.",
  },
  [OrderOutcomeKind.StoreUnavailable]: {
    exitCode: ExitCode.Failed,
    summary: "no lease was obtained from the table; the order was not sent",
    next: "Try again once the platform answers; if a lease was written " +
      "nevertheless, the order waits until it has ended.",
  },
  [OrderOutcomeKind.RowUnreadable]: {
    exitCode: ExitCode.Failed,
    summary: "the target's row in the table is corrupt; the order was not sent",
    next:
      "Have the platform's operators remove the row once no order to this " +
      "target can be under way.",
  },
  [OrderOutcomeKind.InDoubt]: {
    exitCode: ExitCode.OutcomeUnknown,
    summary: "the order was sent and may still be obeyed",
    next: "Give the order again: it waits until this one can no longer take " +
      "effect.",
  },
};

/** Default and upper bound of the option `--max-order-delay-ms`. */
const DEFAULT_MAX_ORDER_DELAY_MS = 10_000;
const MAX_ORDER_DELAY_MS = 600_000;

/**
 * Adds the command `order`.
 *
 * @param parent The program, to which the command is added.
 * @param runner Runs the action and prints its result.
 */
export function addOrderCommand(parent: Command, runner: CommandRunner): void {
  parent.command("order")
    .description("Gives an engine one order, under a lease in the table.")
    .argument("<target>", "id of an engine in the settings in force")
    .addArgument(
      new Argument("<kind>", "what to order")
        .choices(Object.keys(KIND_BY_NAME)),
    )
    .argument("<value>", "model, adapter, version or role")
    .option(
      "--max-order-delay-ms <n>",
      "longest time from sending an order until it takes effect; waited out " +
        "after another's unsettled order where the engine ignores numbers",
      wholeNumber(0, MAX_ORDER_DELAY_MS),
      DEFAULT_MAX_ORDER_DELAY_MS,
    )
    .addOption(authorOption())
    .addOption(platformOption())
    .addOption(jsonOption())
    .addHelpText(
      "after",
      examples(
        "order msaidizi-1 load-model msaidizi-7b-v2 --author neema",
        "order msaidizi-1 set-role prefill --author neema --json",
      ),
    )
    .action((
      targetId: string,
      name: string,
      value: string,
      options: OrderOptions,
    ) =>
      runner.perform(options, () => {
        const input = { targetId, kind: KIND_BY_NAME[name], value };
        return issueOrder(input, runner.services, options);
      })
    );
}

function issueOrder(
  input: OrderInput,
  services: CommandServices,
  options: OrderOptions,
): Promise<CommandResult> {
  return withPlatform(options, async (platform) => {
    const store = new SettingsStore(platform, services.sleep);
    const order = (await store.readCurrent()).andThen(({ value }) =>
      parseTree(value.content, `Version ${value.version}`)
        .andThen((tree) => orderFor(tree, input))
    );
    if (order.isErr()) {
      return err(order.error);
    }
    services.output.err(
      `Acquiring the lease on ${input.targetId}; waits first while another ` +
        "order to it is unsettled.\n",
    );
    const outcome = await issueUnderLease(platform, order.value, {
      services,
      options,
    });
    return orderResult(order.value, outcome);
  });
}

function orderFor(
  tree: SettingsTree,
  input: OrderInput,
): Result<EngineOrder, CommandFailure> {
  const { targetId } = input;
  const engines = Object.entries(tree.targets).filter(([, { pool }]) =>
    tree.pools[pool]?.kind === TargetKind.Engine
  );
  const target = new Map(engines).get(targetId);
  if (target === undefined) {
    return unknownEngine(targetId, engines.map(([id]) => id));
  }
  const { address, checksFencing } = target;
  return ok({ ...input, address, checksFencing });
}

function unknownEngine(targetId: string, known: readonly string[]) {
  const nearest = nearestName(targetId, known);
  const hint = nearest === undefined ? "" : ` Did you mean "${nearest}"?`;
  return badInput({
    message: `The settings in force have no engine "${targetId}".${hint}`,
    next: `Give one of: ${known.join(", ")}.`,
    detail: { targetId, known },
  });
}

async function issueUnderLease(
  platform: PlatformHttp,
  order: EngineOrder,
  of: { readonly services: CommandServices; readonly options: OrderOptions },
): Promise<OrderOutcome> {
  const issuer = new OrderIssuer({
    platform,
    holder: of.options.author,
    clock: PROCESS_CLOCK,
    newOrderId: of.services.newId,
    sleep: of.services.sleep,
    maxOrderDelayMs: of.options.maxOrderDelayMs,
  });
  try {
    return await issuer.issue(order);
  } finally {
    await issuer.stop();
  }
}

function orderResult(order: EngineOrder, outcome: OrderOutcome): CommandResult {
  const { exitCode, summary, next } = OUTCOME_TEXTS[outcome.kind];
  const text = [
    `Order ${outcome.orderId}: ${summary}.`,
    ...stateLines(outcome),
  ]
    .join("\n");
  if (exitCode === ExitCode.Done) {
    return ok({ text, json: { ...order, ...outcome } });
  }
  return err({
    exitCode,
    message: text,
    next,
    detail: { ...order, ...outcome },
  });
}

function stateLines(outcome: OrderOutcome): string[] {
  const { before, after, other, fencingNumber } = outcome;
  return [
    ...fencingNumber === undefined
      ? []
      : [`  fencing number: ${fencingNumber}`],
    ...before === undefined ? [] : [`  before: ${JSON.stringify(before)}`],
    ...after === undefined ? [] : [`  after:  ${JSON.stringify(after)}`],
    ...other === undefined ? [] : [
      `  found: ${other.kind} ${other.value} by ${other.holder} ` +
      `(order ${other.orderId})`,
    ],
  ];
}
