/**
 * Measures processor time, peer traffic and memory of idle entry instances, in
 * an embedded fleet of each example deployment that receives no requests.
 *
 * Processor time is that of the whole process, including stand-ins, divided by
 * the number of instances, so it is an upper bound. Bytes are those sent over
 * peer connections.
 */

import process from "node:process";
import { setTimeout as sleep } from "node:timers/promises";
import { EmbeddedFleet } from "@chestnuthatch/cli/embedded_fleet";

/** Wait before measuring, until the fleet has settled. */
const WARMUP_MS = 5000;
const MEASURE_MS = 20_000;
const READY_POLL_MS = 50;
const PEER_BYTES_PATTERN = /^chestnuthatch_peer_bytes_sent\S*\s+(\d+)/gm;

const DEPLOYMENTS = [
  { deployment: "shamba-safi", instances: 8 },
  { deployment: "sunu-registrs", instances: 7 },
];

async function main(): Promise<void> {
  for (const of of DEPLOYMENTS) {
    console.log(JSON.stringify({ ...of, ...await measure(of) }));
  }
}

async function measure(
  of: { deployment: string; instances: number },
): Promise<Record<string, number>> {
  const fleet = await EmbeddedFleet.start(of);
  while (!fleet.isReady) {
    await sleep(READY_POLL_MS);
  }
  await sleep(WARMUP_MS);
  const bytesBefore = await bytesSent(fleet);
  const cpuBefore = process.cpuUsage();
  await sleep(MEASURE_MS);
  const cpu = process.cpuUsage(cpuBefore);
  const bytes = await bytesSent(fleet) - bytesBefore;
  const heapBytes = process.memoryUsage().heapUsed;
  await fleet.stop();
  const cpuMs = (cpu.user + cpu.system) / 1000;
  return {
    corePercentPerInstance: round(cpuMs / MEASURE_MS / of.instances * 100),
    peerBytesPerSecondPerInstance: round(
      bytes / (MEASURE_MS / 1000) / of.instances,
    ),
    heapMegabytesOfAll: round(heapBytes / 1e6),
  };
}

async function bytesSent(fleet: EmbeddedFleet): Promise<number> {
  let bytes = 0;
  for (const address of fleet.callerAddresses) {
    const response = await fetch(`http://${address}/metrics`);
    for (const match of (await response.text()).matchAll(PEER_BYTES_PATTERN)) {
      bytes += Number(match[1]);
    }
  }
  return bytes;
}

function round(value: number): number {
  return Math.round(value * 1000) / 1000;
}

await main();
