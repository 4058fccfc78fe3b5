/** Starts stand-ins for the platform and targets, each in its own process. */

import { TargetKind } from "@chestnuthatch/wire/shared_types";
import {
  CALL_MS,
  DECODE_TOKENS_PER_SECOND,
  type FleetTarget,
  KV_TOKENS,
  MODEL,
  PREFILL_TOKENS_PER_SECOND,
  TARGET_KIND_BY_POOL,
} from "./fleet_settings.ts";
import { ServerProcess } from "./server_process.ts";

/** A running stand-in and the address on which it listens. */
export interface StandinProcess {
  readonly server: ServerProcess;
  readonly address: string;
}

const STANDIN_SCRIPT = new URL(
  "../../packages/standins/dist/standin_main.js",
  import.meta.url,
);

/**
 * Starts a platform whose instance list shows changes without delay.
 *
 * @returns The running platform.
 */
export function startPlatform(): Promise<StandinProcess> {
  return startStandin(["platform", "--list-lag-ms", "0"]);
}

/**
 * Starts an engine or a service.
 *
 * @param target Configuration of the target; its pool decides the kind.
 * @returns The running stand-in.
 */
export function startTarget(target: FleetTarget): Promise<StandinProcess> {
  const kind = TARGET_KIND_BY_POOL[target.pool];
  const kindFlags = kind === TargetKind.Engine
    ? engineFlags(target)
    : ["--call-ms", String(target.callMs ?? CALL_MS)];
  const { id, slots } = target;
  return startStandin([
    kind,
    "--id",
    id,
    "--slots",
    String(slots),
    ...kindFlags,
  ]);
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

async function startStandin(args: readonly string[]): Promise<StandinProcess> {
  const { server, announced } = await ServerProcess.start<
    { readonly address: string }
  >(STANDIN_SCRIPT, args);
  return { server, address: announced.address };
}
