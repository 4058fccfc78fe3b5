/** A caller that reads an answer as a stream, and may disconnect. */

import { createInterface } from "node:readline";
import {
  type CallerEvent,
  CallerEventKind,
  callerEventSchema,
  type CallerRequest,
} from "@chestnuthatch/wire/caller_protocol";
import { Agent, request } from "undici";
import { waitFor } from "./wait_for.ts";

const agent = new Agent({ pipelining: 0, headersTimeout: 0, bodyTimeout: 0 });

/** A call whose answer is read as a stream of events. */
export class StreamedCall {
  /** All events received so far, in order. */
  readonly events: CallerEvent[] = [];
  /** Settles once the response has ended, completely or not. */
  readonly ended: Promise<void>;
  readonly #abort = new AbortController();
  #failure: string | undefined;

  /**
   * Sends a request.
   *
   * @param address `host:port` of an instance's interface for callers.
   * @param body The request; its `stream` is set to true.
   */
  constructor(address: string, body: CallerRequest) {
    this.ended = this.#read(address, body).catch((error) => {
      this.#failure = String(error);
    });
  }

  /** Text received so far. */
  get text(): string {
    return this.events
      .map((event) => event.kind === CallerEventKind.Text ? event.text : "")
      .join("");
  }

  /** Events that end a stream; a complete stream has exactly one, its last. */
  get endings(): CallerEvent[] {
    return this.events.filter(({ kind }) => kind !== CallerEventKind.Text);
  }

  /** Error of the connection; undefined if it did not fail. */
  get failure(): string | undefined {
    return this.#failure;
  }

  /** Waits until some text has arrived. */
  async waitForText(): Promise<void> {
    await waitFor("text of a stream", () => this.text !== "");
  }

  /** Closes the connection before the end of the answer. */
  hangUp(): void {
    this.#abort.abort();
  }

  async #read(address: string, body: CallerRequest): Promise<void> {
    const response = await request(`http://${address}/v1/requests`, {
      dispatcher: agent,
      method: "POST",
      headers: { "content-type": "application/json" },
      body: JSON.stringify({ ...body, stream: true }),
      signal: this.#abort.signal,
    });
    for await (const line of createInterface({ input: response.body })) {
      this.events.push(callerEventSchema.parse(JSON.parse(line)));
    }
  }
}
