/** An entry instance of a test fleet, in a process of its own. */

import { mkdtempSync, rmSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { sendRequest, type SentOutcome } from "@chestnuthatch/cli/send_request";
import {
  type InstanceStatus,
  MemberLiveness,
} from "@chestnuthatch/core/status";
import type { CounterName } from "@chestnuthatch/core/effects";
import type { RequestState } from "@chestnuthatch/core/request";
import type { StartSettingsInput } from "@chestnuthatch/daemon/start_settings";
import type { CallerRequest } from "@chestnuthatch/wire/caller_protocol";
import { getJson, getJsonResponse, getText } from "./fleet_http.ts";
import { REGION } from "./fleet_settings.ts";
import { LinkRelay } from "./link_relay.ts";
import { type ProcessEnd, ServerProcess } from "./server_process.ts";
import { StreamedCall } from "./streamed_call.ts";
import { waitFor } from "./wait_for.ts";

/** Id and failure domain of an instance. */
export interface InstanceIdentity {
  readonly id: string;
  readonly failureDomain: string;
}

/** Addresses that an instance prints once it accepts connections. */
interface AnnouncedAddresses {
  readonly callers: string;
  readonly peers: string;
}

const DAEMON_SCRIPT = new URL(
  "../../packages/daemon/dist/main.js",
  import.meta.url,
);
const HOST = "127.0.0.1";
const SECRET = "process-fleet-shared-secret";
const HTTP_OK = 200;

/** An instance process, its relays, and the calls that tests send to it. */
export class FleetInstance {
  /** Id and failure domain of this instance. */
  readonly identity: InstanceIdentity;
  /** Relay through which all peers connect to this instance. */
  readonly peerRelay: LinkRelay;
  /** Relay through which this instance connects to the platform. */
  readonly platformRelay: LinkRelay;
  #server: ServerProcess | undefined;
  #callerAddress = "";

  private constructor(
    identity: InstanceIdentity,
    relays: { readonly peers: LinkRelay; readonly platform: LinkRelay },
  ) {
    this.identity = identity;
    this.peerRelay = relays.peers;
    this.platformRelay = relays.platform;
  }

  /**
   * Creates an instance and its relays; `start` starts its process.
   *
   * @param identity Id and failure domain of the instance.
   * @param platformAddress `host:port` of the platform.
   * @returns The instance, whose process does not run yet.
   */
  static async create(
    identity: InstanceIdentity,
    platformAddress: string,
  ): Promise<FleetInstance> {
    const peers = await LinkRelay.start();
    const platform = await LinkRelay.start(platformAddress);
    return new FleetInstance(identity, { peers, platform });
  }

  /**
   * Starts the process of the instance, or starts it again after its end.
   *
   * @param seeds Instances that the start settings list as seeds.
   */
  async start(seeds: readonly FleetInstance[] = []): Promise<void> {
    const { server, announced } = await startWithSettings(
      this.#startSettings(seeds),
    );
    this.#server = server;
    this.#callerAddress = announced.callers;
    this.peerRelay.setUpstream(announced.peers);
  }

  /** Kills the process of the instance and stops its relays. */
  async stop(): Promise<void> {
    await this.#server?.kill();
    await Promise.all([this.peerRelay.stop(), this.platformRelay.stop()]);
  }

  /** Kills the process of the instance with SIGKILL. */
  async kill(): Promise<void> {
    await this.server.kill();
  }

  /** Suspends the process of the instance. */
  async pause(): Promise<void> {
    await this.server.freeze();
  }

  /** Resumes the process of the instance after `pause`. */
  resume(): void {
    this.server.thaw();
  }

  /** Sends SIGTERM: a graceful shutdown; a second one ends it at once. */
  terminate(): void {
    this.server.signal("SIGTERM");
  }

  /** @returns Exit code and signal of the process, after it has ended. */
  waitForEnd(): Promise<ProcessEnd> {
    return this.server.ended;
  }

  /**
   * @returns The process of the instance.
   * @throws If the instance was never started.
   */
  get server(): ServerProcess {
    if (this.#server === undefined) {
      throw new Error(`${this.identity.id} was never started`);
    }
    return this.#server;
  }

  /** @returns Latest log lines of the process; empty before its start. */
  get log(): string {
    return this.#server?.log ?? "";
  }

  /**
   * Sends a request and waits for its outcome.
   *
   * @param body The request.
   * @returns The answer, the refusal, or the reason why neither arrived.
   */
  send(body: CallerRequest): Promise<SentOutcome> {
    return sendRequest(this.#callerAddress, body);
  }

  /**
   * Sends a request whose answer is streamed.
   *
   * @param body The request.
   * @returns The call, which collects the events of the stream.
   */
  stream(body: CallerRequest): StreamedCall {
    return new StreamedCall(this.#callerAddress, body);
  }

  /** @returns The instance's status of itself and of the fleet. */
  readStatus(): Promise<InstanceStatus> {
    return getJson(this.#callerAddress, "/v1/status");
  }

  /** @returns Whether the instance is ready, and the reasons if it is not. */
  async readReadiness(): Promise<{ ready: boolean; reasons: string[] }> {
    const reply = await getJsonResponse<{ ready: boolean; reasons: string[] }>(
      this.#callerAddress,
      "/readyz",
    );
    const ready = reply.statusCode === HTTP_OK;
    return { ready, reasons: reply.body.reasons };
  }

  /**
   * Reads the instance's explanation of a request.
   *
   * @param requestId Id of the request.
   * @returns The explanation as JSON text.
   */
  async explainRequest(requestId: string): Promise<string> {
    return JSON.stringify(
      await getJson(this.#callerAddress, `/v1/why/${requestId}`),
    );
  }

  /**
   * Reads a counter from the metrics of the instance.
   *
   * @param counter Name of the counter.
   * @returns The sum over all labels.
   */
  async readCounter(counter: CounterName): Promise<number> {
    const page = await getText(this.#callerAddress, "/metrics");
    const samples = new RegExp(`^\\w+_${counter}_total(?:{.*})? (\\S+)$`, "gm");
    return [...page.matchAll(samples)]
      .reduce((sum, [, value]) => sum + Number(value), 0);
  }

  /** Waits until the instance reports that it is ready. */
  async waitUntilReady(): Promise<void> {
    await waitFor(
      `${this.identity.id} to be ready`,
      async () => (await this.readReadiness()).ready,
    );
  }

  /**
   * Waits until the instance lists exactly the given members as eligible.
   *
   * @param ids Ids of the expected eligible members.
   */
  async waitForMembers(ids: readonly string[]): Promise<void> {
    const wanted = [...ids].sort().join();
    await waitFor(`${this.identity.id} to see ${wanted}`, async () => {
      const eligible = (await this.readStatus()).members
        .filter(({ liveness }) => liveness === MemberLiveness.Eligible)
        .map(({ instanceId }) => instanceId);
      return eligible.sort().join() === wanted;
    });
  }

  /**
   * Waits until the instance has a number of requests in a state.
   *
   * @param state State of the requests.
   * @param count Expected number of requests.
   */
  async waitForRequests(state: RequestState, count: number): Promise<void> {
    await waitFor(
      `${this.identity.id} to hold ${count} requests ${state}`,
      async () => (await this.readStatus()).requestsByState[state] === count,
    );
  }

  #startSettings(seeds: readonly FleetInstance[]): StartSettingsInput {
    const { id, failureDomain } = this.identity;
    return {
      instanceId: id,
      failureDomain,
      region: REGION,
      callers: { host: HOST, port: 0 },
      peers: {
        host: HOST,
        port: 0,
        secret: SECRET,
        seeds: seeds.map(({ identity, peerRelay }) => ({
          instanceId: identity.id,
          failureDomain: identity.failureDomain,
          address: peerRelay.address,
        })),
      },
      platform: { address: this.platformRelay.address },
    };
  }
}

/**
 * Starts an instance process from a temporary settings file. The process reads
 * the file only once, at its start, so the file is removed right after.
 */
async function startWithSettings(settings: StartSettingsInput) {
  const folder = mkdtempSync(join(tmpdir(), "chestnuthatch-"));
  try {
    const path = join(folder, "start.yaml");
    writeFileSync(path, JSON.stringify(settings));
    return await ServerProcess.start<AnnouncedAddresses>(DAEMON_SCRIPT, [
      "--settings",
      path,
    ]);
  } finally {
    rmSync(folder, { recursive: true, force: true });
  }
}
