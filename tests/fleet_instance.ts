/** One entry instance of a test fleet, as a process of its own. */

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
import { getJson, getReply, getText } from "./fleet_http.ts";
import { REGION } from "./fleet_settings.ts";
import { LinkRelay } from "./link_relay.ts";
import { type ProcessEnd, ServerProcess } from "./server_process.ts";
import { StreamedCall } from "./streamed_call.ts";
import { waitFor } from "./wait_for.ts";

/** Where an instance belongs. */
export interface InstancePlace {
  readonly id: string;
  readonly failureDomain: string;
}

/** What an instance prints once it serves. */
interface Announced {
  readonly callers: string;
  readonly peers: string;
}

const SCRIPT = new URL("../../packages/daemon/dist/main.js", import.meta.url);
const HOST = "127.0.0.1";
const SECRET = "process-fleet-shared-secret";
const HTTP_OK = 200;

/** An instance, its relays, and what callers and operators ask of it. */
export class FleetInstance {
  readonly place: InstancePlace;
  /** The way of every peer to this instance. */
  readonly peerRelay: LinkRelay;
  /** The way of this instance to the platform. */
  readonly platformRelay: LinkRelay;
  #server: ServerProcess | undefined;
  #callers = "";

  private constructor(
    place: InstancePlace,
    relays: { readonly peers: LinkRelay; readonly platform: LinkRelay },
  ) {
    this.place = place;
    this.peerRelay = relays.peers;
    this.platformRelay = relays.platform;
  }

  /**
   * Makes an instance that does not run yet.
   *
   * @param place Its id and failure domain.
   * @param platformAddress `host:port` of the platform.
   * @returns The instance.
   */
  static async create(
    place: InstancePlace,
    platformAddress: string,
  ): Promise<FleetInstance> {
    const peers = await LinkRelay.start();
    const platform = await LinkRelay.start(platformAddress);
    return new FleetInstance(place, { peers, platform });
  }

  /**
   * Starts its process, also anew.
   *
   * @param seeds Instances that its start settings name.
   */
  async start(seeds: readonly FleetInstance[] = []): Promise<void> {
    const { server, announced } = await startWith(this.#startSettings(seeds));
    this.#server = server;
    this.#callers = announced.callers;
    this.peerRelay.setUpstream(announced.peers);
  }

  /** Ends everything of it. */
  async stop(): Promise<void> {
    await this.#server?.kill();
    await Promise.all([this.peerRelay.stop(), this.platformRelay.stop()]);
  }

  /** Kills it without warning. */
  async kill(): Promise<void> {
    await this.server.kill();
  }

  /** Pauses it. */
  async freeze(): Promise<void> {
    await this.server.freeze();
  }

  /** Lets it go on. */
  thaw(): void {
    this.server.thaw();
  }

  /** Orders a graceful shutdown; a second time, one at once. */
  terminate(): void {
    this.server.signal("SIGTERM");
  }

  /** @returns How its process ended, once it has. */
  ended(): Promise<ProcessEnd> {
    return this.server.ended;
  }

  /** Its process. */
  get server(): ServerProcess {
    if (this.#server === undefined) {
      throw new Error(`${this.place.id} was never started`);
    }
    return this.#server;
  }

  /** Latest lines of its log. */
  get log(): string {
    return this.#server?.log ?? "";
  }

  /**
   * Sends a request.
   *
   * @param body The request.
   * @returns Its answer, its refusal, or why neither came.
   */
  send(body: CallerRequest): Promise<SentOutcome> {
    return sendRequest(this.#callers, body);
  }

  /**
   * Sends a request whose answer is read as it comes.
   *
   * @param body The request.
   * @returns The call.
   */
  stream(body: CallerRequest): StreamedCall {
    return new StreamedCall(this.#callers, body);
  }

  /** @returns What it tells of itself and the fleet. */
  status(): Promise<InstanceStatus> {
    return getJson(this.#callers, "/v1/status");
  }

  /** @returns Whether it is ready, and why not. */
  async readiness(): Promise<{ ready: boolean; reasons: string[] }> {
    const reply = await getReply<{ ready: boolean; reasons: string[] }>(
      this.#callers,
      "/readyz",
    );
    const ready = reply.statusCode === HTTP_OK;
    return { ready, reasons: reply.body.reasons };
  }

  /**
   * Reads a request's story.
   *
   * @param requestId The request.
   * @returns The story as JSON text.
   */
  async why(requestId: string): Promise<string> {
    return JSON.stringify(await getJson(this.#callers, `/v1/why/${requestId}`));
  }

  /**
   * Reads a counter.
   *
   * @param counter The counter.
   * @returns Its value, all labels together.
   */
  async count(counter: CounterName): Promise<number> {
    const page = await getText(this.#callers, "/metrics");
    const samples = new RegExp(`^\\w+_${counter}_total(?:{.*})? (\\S+)$`, "gm");
    return [...page.matchAll(samples)]
      .reduce((sum, [, value]) => sum + Number(value), 0);
  }

  /** Waits until it is ready. */
  async ready(): Promise<void> {
    await waitFor(
      `${this.place.id} to be ready`,
      async () => (await this.readiness()).ready,
    );
  }

  /**
   * Waits until other instances are open to duties, as it sees them.
   *
   * @param ids Those instances, and only those.
   */
  async sees(ids: readonly string[]): Promise<void> {
    const wanted = [...ids].sort().join();
    await waitFor(`${this.place.id} to see ${wanted}`, async () => {
      const eligible = (await this.status()).members
        .filter(({ liveness }) => liveness === MemberLiveness.Eligible)
        .map(({ instanceId }) => instanceId);
      return eligible.sort().join() === wanted;
    });
  }

  /**
   * Waits until so many of its requests are in a state.
   *
   * @param state The state.
   * @param count How many.
   */
  async holds(state: RequestState, count: number): Promise<void> {
    await waitFor(
      `${this.place.id} to hold ${count} requests ${state}`,
      async () => (await this.status()).requestsByState[state] === count,
    );
  }

  #startSettings(seeds: readonly FleetInstance[]): StartSettingsInput {
    const { id, failureDomain } = this.place;
    return {
      instanceId: id,
      failureDomain,
      region: REGION,
      callers: { host: HOST, port: 0 },
      peers: {
        host: HOST,
        port: 0,
        secret: SECRET,
        seeds: seeds.map(({ place, peerRelay }) => ({
          instanceId: place.id,
          failureDomain: place.failureDomain,
          address: peerRelay.address,
        })),
      },
      platform: { address: this.platformRelay.address },
    };
  }
}

/** The settings are read once, so that their file may go at once. */
async function startWith(settings: StartSettingsInput) {
  const folder = mkdtempSync(join(tmpdir(), "chestnuthatch-"));
  try {
    const path = join(folder, "start.yaml");
    writeFileSync(path, JSON.stringify(settings));
    return await ServerProcess.start<Announced>(SCRIPT, ["--settings", path]);
  } finally {
    rmSync(folder, { recursive: true, force: true });
  }
}
