/**
 * Log of the memory that the process takes. A process that exceeds the memory of
 * its machine is killed without a line of its own.
 */

import type { AnswerMemory } from "./answer_memory.ts";
import { type EventLog, LogPart } from "./event_log.ts";
import type { GatewayMetrics } from "./gateway_metrics.ts";
import type { Clock } from "./ports.ts";

/** Time between two readings of the memory in use. */
const READ_INTERVAL_MS = 1000;

const BYTES_PER_MB = 1024 * 1024;

/** Growth of the memory in use that is logged. */
const LOGGED_GROWTH_MB = 16;

/** Memory of the process, in bytes. */
export interface ProcessMemory {
  /** Memory of the machine that the process occupies. */
  readonly rss: number;
  /** Part of it that holds objects of the program. */
  readonly heapUsed: number;
  /** Part of it that holds buffers. */
  readonly arrayBuffers: number;
}

/** Collaborators of a {@link ProcessMemoryMonitor}. */
export interface ProcessMemoryMonitorParts {
  readonly answerMemory: AnswerMemory;
  readonly clock: Clock;
  readonly log: EventLog;
  readonly metrics: GatewayMetrics;
  /** @returns Memory that the process takes now. */
  read(): ProcessMemory;
}

/** Records the memory of the process, and logs each time that it has grown. */
export class ProcessMemoryMonitor {
  readonly #parts: ProcessMemoryMonitorParts;
  #readAtMs = -Infinity;
  /** Memory in use from which the next line is logged. */
  #nextLoggedMb = 0;

  /** @param parts Collaborators. */
  constructor(parts: ProcessMemoryMonitorParts) {
    this.#parts = parts;
  }

  /** Reads the memory in use if the last reading is old enough. */
  tick(): void {
    const nowMs = this.#parts.clock.nowMs();
    if (nowMs - this.#readAtMs >= READ_INTERVAL_MS) {
      this.#readAtMs = nowMs;
      this.#record(this.#parts.read());
    }
  }

  #record({ rss, heapUsed, arrayBuffers }: ProcessMemory): void {
    const { answerMemory, log, metrics } = this.#parts;
    metrics.processMemory(rss);
    const rssMb = megabytesOf(rss);
    if (rssMb < this.#nextLoggedMb) {
      return;
    }
    this.#nextLoggedMb = rssMb + LOGGED_GROWTH_MB;
    log.info(LogPart.Process, "process memory has grown", {
      rssMb,
      heapMb: megabytesOf(heapUsed),
      buffersMb: megabytesOf(arrayBuffers),
      answersMb: megabytesOf(answerMemory.bytes),
    });
  }
}

function megabytesOf(bytes: number): number {
  return Math.round(bytes / BYTES_PER_MB);
}
