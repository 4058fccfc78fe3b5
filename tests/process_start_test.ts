/** Starts of the platform's program that have to wait, as real processes. */

import { spawn } from "node:child_process";
import { once } from "node:events";
import { mkdtempSync, rmSync, writeFileSync } from "node:fs";
import { type AddressInfo, createServer } from "node:net";
import { tmpdir } from "node:os";
import { join } from "node:path";
import process from "node:process";
import { test } from "uvu";
import * as assert from "uvu/assert";
import { waitFor } from "./wait_for.ts";

const PROGRAM = new URL("../../platform/dist/main.js", import.meta.url);
const HOST = "127.0.0.1";
const DEFAULT_SETTINGS = `nodeName=entry-1
zone=a
ip=${HOST}
listen.front=${HOST}:0
listen.ready=${HOST}:0
internalPortRange=0,0
platform.address=${HOST}:9
`;

/** A process of the program, with a settings file that may not exist yet. */
class StartingProcess {
  readonly #folder = mkdtempSync(join(tmpdir(), "start-"));
  readonly #path = join(this.#folder, "local.conf");
  readonly #child;
  readonly #closed: Promise<unknown>;
  #output = "";
  #hasEnded = false;

  constructor(settings?: string) {
    if (settings !== undefined) {
      this.write(settings);
    }
    this.#child = spawn(process.execPath, [
      PROGRAM.pathname,
      "--metrics-port",
      "0",
    ], {
      env: { ...process.env, CHESTNUTHATCH_CONFIG: this.#path },
      stdio: ["ignore", "pipe", "pipe"],
    });
    this.#closed = once(this.#child, "close");
    void this.#closed.then(() => this.#hasEnded = true);
    for (const stream of [this.#child.stdout, this.#child.stderr]) {
      stream.on("data", (chunk) => this.#output += String(chunk));
    }
  }

  write(settings: string): void {
    writeFileSync(this.#path, settings);
  }

  signal(signal: NodeJS.Signals): void {
    this.#child.kill(signal);
  }

  /** Waits for a text in the output of the process. */
  async prints(text: string): Promise<void> {
    await waitFor(text, () => this.#output.includes(text) || this.#hasEnded);
    assert.match(this.#output, text);
  }

  /** Waits for the end, and returns the exit code or signal, and the output. */
  async end() {
    await this.#closed;
    const { exitCode, signalCode } = this.#child;
    return { end: exitCode ?? signalCode, output: this.#output };
  }

  async close(): Promise<void> {
    this.#child.kill("SIGKILL");
    await this.#closed;
    rmSync(this.#folder, { recursive: true });
  }
}

async function withProcess(
  settings: string | undefined,
  run: (started: StartingProcess) => Promise<void>,
): Promise<void> {
  const started = new StartingProcess(settings);
  try {
    await run(started);
  } finally {
    await started.close();
  }
}

// Guards against a process that ends because of its unfinished settings file,
// or because of the signal that tells of the finished one.
test("a process whose settings file is completed later starts", async () => {
  for (const settings of [undefined, DEFAULT_SETTINGS.slice(0, -20)]) {
    await withProcess(settings, async (started) => {
      await started.prints("incomplete, waiting");
      started.signal("SIGHUP");
      started.write(DEFAULT_SETTINGS);
      await started.prints('"message":"started"');
    });
  }
});

// Guards against a stop that has to wait for the settings file, or that ends
// the process like a failure.
test("SIGTERM ends a process that waits for its settings file", () =>
  withProcess(undefined, async (started) => {
    await started.prints("incomplete, waiting");
    started.signal("SIGTERM");
    const { end, output } = await started.end();
    assert.is(end, 0);
    assert.match(output, "SIGTERM before the start");
  }));

// Guards against a stopped process that goes on to start.
test("SIGTERM ends a process that waits for an address", async () => {
  const server = createServer().listen(0, HOST);
  await once(server, "listening");
  const { port } = server.address() as AddressInfo;
  const settings = DEFAULT_SETTINGS.replace(":0", `:${port}`);
  try {
    await withProcess(settings, async (started) => {
      await started.prints("address is in use, waiting for it");
      started.signal("SIGTERM");
      const { end, output } = await started.end();
      assert.is(end, 0);
      assert.match(output, "stopped before the start was complete");
      assert.not.match(output, '"message":"started"');
    });
  } finally {
    server.close();
  }
});

test("a wrong value ends the process with exit code 2", () =>
  withProcess(DEFAULT_SETTINGS.replace("zone=a", "zone="), async (started) => {
    const { end, output } = await started.end();
    assert.is(end, 2);
    assert.match(output, "local.conf: zone: ");
  }));

test.run();
