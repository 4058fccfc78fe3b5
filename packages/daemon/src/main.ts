/** The program `chestnuthatchd`, which runs one entry instance. */

import { readFileSync } from "node:fs";
import process from "node:process";
import { Command } from "commander";
import { EntryInstance } from "./entry_instance.ts";
import { parseStartSettings } from "./start_settings.ts";

const EXIT_BAD_SETTINGS = 2;
const EXIT_CANNOT_START = 1;

async function runInstance(settingsPath: string): Promise<void> {
  const settings = parseStartSettings(readSettingsFile(settingsPath));
  if (settings.isErr()) {
    for (const fault of settings.error) {
      console.error(`${settingsPath}: ${fault}`);
    }
    process.exit(EXIT_BAD_SETTINGS);
  }
  const instance = new EntryInstance(settings.value, {
    onStopped: () => process.exit(0),
  });
  process.on("SIGTERM", () => instance.shutdown());
  process.on("SIGINT", () => instance.shutdown());
  try {
    await instance.start();
  } catch (error) {
    console.error(`${settingsPath}: cannot start: ${String(error)}`);
    process.exit(EXIT_CANNOT_START);
  }
  console.log(JSON.stringify({
    instanceId: settings.value.instanceId,
    callers: instance.callerAddress,
    peers: instance.peerAddress,
  }));
}

function readSettingsFile(path: string): string {
  try {
    return readFileSync(path, "utf8");
  } catch (error) {
    console.error(`cannot read ${path}: ${String(error)}`);
    process.exit(EXIT_BAD_SETTINGS);
  }
}

await new Command("chestnuthatchd")
  .description("Runs one entry instance of chestnuthatch.")
  .requiredOption("--settings <file>", "YAML file of its start settings")
  .action((options: { settings: string }) => runInstance(options.settings))
  .parseAsync();
