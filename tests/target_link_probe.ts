/**
 * Module that is loaded into an instance's process before its program. It
 * disturbs the connections that the instance opens to targets, as the parent
 * process commands. The relay of a target cannot do that, as all instances
 * connect through it.
 */

import { syncBuiltinESMExports } from "node:module";
import net, { type NetConnectOpts, type Socket } from "node:net";
import process from "node:process";
import {
  type LinkMode,
  StandinLink,
} from "@chestnuthatch/platform/standin_link";
import { STORE_ADDRESS_VARIABLE } from "./probe_variables.ts";

/** Command of the parent process. */
export interface LinkCommand {
  readonly linkMode: LinkMode;
}

const storeAddress = process.env[STORE_ADDRESS_VARIABLE];
const connectDirectly = net.connect;
const link = new StandinLink();
let isInsideLink = false;

process.on("message", ({ linkMode }: LinkCommand) => link.set(linkMode));
// The instance's process must be able to exit by itself.
process.channel?.unref();

net.connect = connectThroughLink as typeof net.connect;
syncBuiltinESMExports();

/** Opens connections to targets through the link, and all others directly. */
function connectThroughLink(...args: unknown[]): Socket {
  const [options] = args as [NetConnectOpts];
  if (isInsideLink || !isOfTarget(options)) {
    return (connectDirectly as (...args: unknown[]) => Socket)(...args);
  }
  isInsideLink = true;
  try {
    return link.connect(options);
  } finally {
    isInsideLink = false;
  }
}

/** Members of the fleet are connected to by other functions than `connect`. */
function isOfTarget(options: NetConnectOpts): boolean {
  return "port" in options &&
    `${options.host}:${options.port}` !== storeAddress;
}
