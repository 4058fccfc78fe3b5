/**
 * Datagram socket for the messages between instances.
 *
 * Any message may be lost: asks are retried until they are answered, and
 * periodic reports correct the accounts. In exchange, there are no connections
 * that could stall, and a lost packet does not delay those after it.
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
import { type HostPort, hostPortOf } from "./host_port.ts";

/**
 * Names of fields, which are encoded as their position in this list. New names
 * are appended, since positions must not change.
 */
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
  "retries",
  "firstSends",
  "repeats",
  "isReached",
  "maxRejectionsPerS",
  "isRejected",
  "streamKey",
  "takesUp",
  "avoided",
  "isStreamCompleted",
  "streams",
  "keys",
  "promptParts",
  "part",
  "servedAgeMs",
  "clearedParts",
  "trialParts",
  "admission",
  "waitMs",
  "refused",
  "count",
  "callHashes",
  "longestGapMs",
  "coordinatorId",
  "spendingShare",
  "partSpending",
  "recordedSpending",
  "absent",
  "info",
];

/** Version of the internet protocol between peers. */
const IP_FAMILY = 4;

/** Size of the socket's receive buffer. */
const RECEIVE_BUFFER_BYTES = 1024 * 1024;

/** Bound on the parsed addresses that are kept; a fleet has fewer members. */
const MAX_KEPT_ADDRESSES = 256;

const keyMap = Object.fromEntries(
  FIELD_NAMES.map((name, index) => [name, index + 1]),
);
const codecOptions = { useRecords: false, variableMapSize: true, keyMap };
const encoder = new Encoder(codecOptions);
const decoder = new Decoder(codecOptions);

/** Handles a message that was received from a peer. */
export type MessageHandler = (
  message: RoutingMessage,
  fromAddress: string,
) => void;

/** Datagram socket by which an instance exchanges messages with its peers. */
export class PeerSocket {
  readonly #log: EventLog;
  readonly #metrics: GatewayMetrics;
  readonly #socket: Socket;
  /** Parsed addresses, as each heartbeat is sent to the same ones. */
  readonly #hostPorts = new Map<string, HostPort>();
  #isClosed = false;

  /**
   * @param log Receives failures.
   * @param metrics Counts the received messages.
   */
  constructor(log: EventLog, metrics: GatewayMetrics) {
    this.#log = log;
    this.#metrics = metrics;
    // Addresses are numeric: with the default lookup, each datagram would wait
    // for the next iteration of the event loop.
    this.#socket = createSocket({
      type: "udp4",
      lookup: (host, _options, done) => done(null, host, IP_FAMILY),
    });
  }

  /**
   * Binds the socket and starts to receive.
   *
   * @param address `ip:port` to bind to.
   * @param handler Handles each valid message.
   * @returns Resolves when the socket is bound; rejects if it can't be.
   */
  open(address: string, handler: MessageHandler): Promise<void> {
    const { host, port } = hostPortOf(address);
    return new Promise((resolve, reject) => {
      this.#socket.once("error", reject);
      this.#socket.bind(port, host, () => {
        this.#socket.setRecvBufferSize(RECEIVE_BUFFER_BYTES);
        this.#socket.removeListener("error", reject);
        this.#receive(handler);
        resolve();
      });
    });
  }

  /** Installs the handlers once, however often binding has failed before. */
  #receive(handler: MessageHandler): void {
    this.#socket.on("error", (error) => {
      this.#log.warn(LogPart.Members, "peer socket failed", {
        reason: error.message,
      });
    });
    this.#socket.on("message", (bytes, from) => {
      const fromAddress = `${from.address}:${from.port}`;
      const message = this.#decode(bytes, fromAddress);
      if (message !== undefined) {
        this.#metrics.peerMessage(message.kind);
        handler(message, fromAddress);
      }
    });
  }

  /** `ip:port` that the socket is bound to. */
  get address(): string {
    const { address, port } = this.#socket.address();
    return `${address}:${port}`;
  }

  /**
   * Sends a message, without a guarantee of delivery.
   *
   * @param address `ip:port` of the receiver.
   * @param message The message.
   */
  send(address: string, message: RoutingMessage): void {
    this.sendAll([address], message);
  }

  /**
   * Sends a message to several receivers, without a guarantee of delivery to
   * any of them. A closed socket sends nothing.
   *
   * @param addresses `ip:port` of the receivers.
   * @param message The message.
   */
  sendAll(addresses: Iterable<string>, message: RoutingMessage): void {
    if (this.#isClosed) {
      return;
    }
    const bytes = encoder.encode(message);
    for (const address of addresses) {
      const onSent = (error: Error | null) =>
        this.#logSendFailure(error, address, message.kind);
      try {
        const { host, port } = this.#hostPortOf(address);
        this.#socket.send(bytes, port, host, onSent);
      } catch (error) {
        // A port out of range must not keep the message from the others.
        onSent(error as Error);
      }
    }
  }

  #hostPortOf(address: string): HostPort {
    let hostPort = this.#hostPorts.get(address);
    if (hostPort === undefined) {
      hostPort = hostPortOf(address);
      if (this.#hostPorts.size >= MAX_KEPT_ADDRESSES) {
        this.#hostPorts.clear();
      }
      this.#hostPorts.set(address, hostPort);
    }
    return hostPort;
  }

  /** Heartbeats are excepted: they are sent again anyway. */
  #logSendFailure(
    error: Error | null,
    address: string,
    kind: MessageKind,
  ): void {
    if (error !== null && kind !== MessageKind.Heartbeat) {
      const reason = error.message;
      const facts = { address, kind, reason };
      this.#log.warn(LogPart.Members, "message not sent", facts);
    }
  }

  /** Closes the socket. */
  close(): void {
    this.#isClosed = true;
    this.#socket.close();
  }

  #decode(bytes: Buffer, from: string): RoutingMessage | undefined {
    let content: unknown;
    try {
      content = decoder.decode(bytes);
    } catch (error) {
      this.#log.warn(LogPart.Members, "malformed datagram", {
        from,
        reason: String(error),
      });
      return undefined;
    }
    const parsed = peerMessageSchema.safeParse(content);
    if (parsed.success) {
      return parsed.data;
    }
    this.#log.warn(LogPart.Members, "invalid message", {
      from,
      reason: parsed.error.issues[0]?.path.join("."),
    });
    return undefined;
  }
}
