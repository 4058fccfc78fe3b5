/**
 * Program that runs a soak's store, and the link to it, as a separate process.
 */

import process from "node:process";
import { StandinStore } from "@chestnuthatch/platform/standin_store";
import { LinkRelay } from "./link_relay.ts";
import {
  type StoreCommand,
  type StoreCommandArguments,
  StoreCommandKind,
  type StoreReply,
} from "./soak_store_commands.ts";

/** The store and the link, to which commands apply. */
interface StoreContext {
  readonly store: StandinStore;
  readonly link: LinkRelay;
}

type Handlers = {
  readonly [K in StoreCommandKind]: (
    context: StoreContext,
    options: StoreCommandArguments[K],
  ) => unknown;
};

const HANDLERS: Handlers = {
  [StoreCommandKind.Put]: ({ store }, { table, key, content }) =>
    store.put(table, key, content),
  [StoreCommandKind.ReadContent]: ({ store }, { table, key }) =>
    store.contentOf(table, key),
  [StoreCommandKind.SetMode]: ({ store }, { mode }) => {
    store.mode = mode;
  },
  [StoreCommandKind.DiscardHistory]: ({ store }) => store.discardHistory(),
  [StoreCommandKind.ResetLink]: ({ link }) => link.reset(),
  [StoreCommandKind.CutLink]: ({ link }) => link.cut(),
  [StoreCommandKind.FreezeLink]: ({ link }) => link.freeze(),
  [StoreCommandKind.HealLink]: ({ link }) => link.heal(),
  [StoreCommandKind.SilenceLink]: ({ link }, { share }) => link.silence(share),
};

async function main(): Promise<void> {
  const store = new StandinStore();
  await store.open("127.0.0.1");
  const link = await LinkRelay.start(store.address);
  let last = Promise.resolve();
  process.on("message", (command: StoreCommand) => {
    last = last.then(() => execute({ store, link }, command));
  });
  process.on("disconnect", () => process.exit());
  reply({ address: link.address });
}

async function execute(
  context: StoreContext,
  { id, kind, with: options }: StoreCommand,
): Promise<void> {
  const handler = HANDLERS[kind] as (
    context: StoreContext,
    options: unknown,
  ) => unknown;
  reply({ id, result: await handler(context, options) });
}

function reply(message: StoreReply): void {
  process.send?.(message);
}

await main();
