/** Starts stand-ins, each as a process of its own. */

import { TargetKind } from "@chestnuthatch/wire/shared_types";
import {
  CALL_MS,
  DECODE_TOKENS_PER_SECOND,
  type FleetTarget,
  KIND_OF_POOL,
  KV_TOKENS,
  MODEL,
  PREFILL_TOKENS_PER_SECOND,
} from "./fleet_settings.ts";
import { ServerProcess } from "./server_process.ts";

/** A stand-in that listens. */
export interface StandinProcess {
  readonly server: ServerProcess;
  readonly address: string;
}

const SCRIPT = new URL(
  "../../packages/standins/dist/standin_main.js",
  import.meta.url,
);

/** @returns A platform whose list shows changes at once. */
export function startPlatform(): Promise<StandinProcess> {
  return start(["platform", "--list-lag-ms", "0"]);
}

/**
 * Starts an engine or a service.
 *
 * @param target What it is like.
 * @returns The stand-in.
 */
export function startTarget(target: FleetTarget): Promise<StandinProcess> {
  const kind = KIND_OF_POOL[target.pool];
  const own = kind === TargetKind.Engine
    ? engineFlags(target)
    : ["--call-ms", String(target.callMs ?? CALL_MS)];
  const { id, slots } = target;
  return start([kind, "--id", id, "--slots", String(slots), ...own]);
}

function engineFlags({ decodeTokensPerSecond }: FleetTarget): string[] {
  const decodeRate = decodeTokensPerSecond ?? DECODE_TOKENS_PER_SECOND;
  const flags = {
    "--model": MODEL,
    "--kv-tokens": KV_TOKENS,
    "--prefill-tokens-per-second": PREFILL_TOKENS_PER_SECOND,
    "--decode-tokens-per-second": decodeRate,
  };
  return Object.entries(flags).flatMap(([flag, value]) => [
    flag,
    String(value),
  ]);
}

async function start(args: readonly string[]): Promise<StandinProcess> {
  const { server, announced } = await ServerProcess.start<
    { readonly address: string }
  >(SCRIPT, args);
  return { server, address: announced.address };
}
