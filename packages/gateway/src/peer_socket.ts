/**
 * Datagrams between the instances that route requests.
 *
 * Every message may be lost: asks are sent again until they are answered, and
 * regular reports bring the account in line. So there are no connections that
 * could fall silent, and a lost packet holds nothing up behind it.
 */

import type { Buffer } from "node:buffer";
import { createSocket, type Socket } from "node:dgram";
import { Decoder, Encoder } from "cbor-x";
import {
  MessageKind,
  peerMessageSchema,
  type RoutingMessage,
} from "@chestnuthatch/routing/peer_messages";
import { type EventLog, LogPart } from "./event_log.ts";
import type { GatewayMetrics } from "./gateway_metrics.ts";
import { hostPortOf } from "./host_port.ts";

/** Short codes for the names of fields, in the order of their introduction. */
const FIELD_NAMES = [
  "kind",
  "from",
  "instanceId",
  "address",
  "failureDomain",
  "incarnation",
  "leaving",
  "configurationVersion",
  "targetsVersion",
  "reachesStore",
  "others",
  "targetNews",
  "targetId",
  "rowVersion",
  "entry",
  "pool",
  "slots",
  "ask",
  "askId",
  "holderId",
  "workspace",
  "rank",
  "cost",
  "promptTokens",
  "outputTokens",
  "objectiveLeftMs",
  "patienceLeftMs",
  "excluded",
  "cause",
  "decision",
  "expectedMs",
  "refusal",
  "retryAfterMs",
  "end",
  "firstMs",
  "eventGapMs",
  "failed",
  "report",
  "running",
  "waiting",
  "spent",
  "firstSeen",
  "memoryMs",
  "figures",
  "spending",
  "deadlineLeftMs",
  "cores",
  "callHash",
  "cameBackMs",
  "bySecond",
  "standsAside",
  "askIds",
  "fingerprint",
  "suspects",
  "ended",
  "endedInTrial",
  "ageMs",
  "isTrial",
  "trialOf",
  "version",
  "coldMs",
  "rollouts",
  "withinMs",
  "phase",
  "route",
  "answerFailed",
  "rateLimits",
  "limitPerS",
  "announcedLeaving",
  "configurationAgeMs",
];

/** Version of the internet protocol that peers speak. */
const IP_FAMILY = 4;

/** Bytes that the receive buffer of the socket holds. */
const RECEIVE_BUFFER_BYTES = 1024 * 1024;

const keyMap = Object.fromEntries(
  FIELD_NAMES.map((name, index) => [name, index + 1]),
);
const codecOptions = { useRecords: false, variableMapSize: true, keyMap };
const encoder = new Encoder(codecOptions);
const decoder = new Decoder(codecOptions);

/** Who hears messages. */
export type MessageSink = (
  message: RoutingMessage,
  fromAddress: string,
) => void;

/** The datagram socket of one instance. */
export class PeerSocket {
  readonly #log: EventLog;
  readonly #metrics: GatewayMetrics;
  readonly #socket: Socket;

  /**
   * @param log Where faults are told.
   * @param metrics Where messages are counted.
   */
  constructor(log: EventLog, metrics: GatewayMetrics) {
    this.#log = log;
    this.#metrics = metrics;
    // Addresses are IP numbers: looked up in the usual way, each datagram would
    // wait for the next turn of the event loop.
    this.#socket = createSocket({
      type: "udp4",
      lookup: (host, _options, done) => done(null, host, IP_FAMILY),
    });
  }

  /**
   * Begins to receive.
   *
   * @param address `ip:port` to receive at.
   * @param sink Who hears messages.
   * @returns Once messages can arrive.
   */
  open(address: string, sink: MessageSink): Promise<void> {
    const { host, port } = hostPortOf(address);
    this.#socket.on("error", (error) => {
      this.#log.warn(LogPart.Members, "peer socket failed", {
        reason: error.message,
      });
    });
    this.#socket.on("message", (bytes, from) => {
      const message = this.#decode(bytes, `${from.address}:${from.port}`);
      if (message !== undefined) {
        this.#metrics.peerMessage(message.kind);
        sink(message, `${from.address}:${from.port}`);
      }
    });
    return new Promise((resolve, reject) => {
      this.#socket.once("error", reject);
      this.#socket.bind(port, host, () => {
        this.#socket.setRecvBufferSize(RECEIVE_BUFFER_BYTES);
        this.#socket.removeListener("error", reject);
        resolve();
      });
    });
  }

  /** `ip:port` that it receives at. */
  get address(): string {
    const { address, port } = this.#socket.address();
    return `${address}:${port}`;
  }

  /**
   * Sends a message; it may be lost.
   *
   * @param address `ip:port` of the receiver.
   * @param message The message.
   */
  send(address: string, message: RoutingMessage): void {
    this.sendAll([address], message);
  }

  /**
   * Sends one message to many; it may be lost on the way to some of them.
   *
   * @param addresses `ip:port` of the receivers.
   * @param message The message.
   */
  sendAll(addresses: Iterable<string>, message: RoutingMessage): void {
    const bytes = encoder.encode(message);
    for (const address of addresses) {
      const { host, port } = hostPortOf(address);
      this.#socket.send(bytes, port, host, (error) => {
        this.#noteSent(error, address, message.kind);
      });
    }
  }

  #noteSent(error: Error | null, address: string, kind: MessageKind): void {
    if (error !== null && kind !== MessageKind.Heartbeat) {
      const reason = error.message;
      const facts = { address, kind, reason };
      this.#log.warn(LogPart.Members, "message not sent", facts);
    }
  }

  /** Stops receiving. */
  close(): void {
    this.#socket.close();
  }

  #decode(bytes: Buffer, from: string): RoutingMessage | undefined {
    let content: unknown;
    try {
      content = decoder.decode(bytes);
    } catch (error) {
      this.#log.warn(LogPart.Members, "datagram is no message", {
        from,
        reason: String(error),
      });
      return undefined;
    }
    const parsed = peerMessageSchema.safeParse(content);
    if (parsed.success) {
      return parsed.data;
    }
    this.#log.warn(LogPart.Members, "message of an unknown form", {
      from,
      reason: parsed.error.issues[0]?.path.join("."),
    });
    return undefined;
  }
}
