/**
 * Program of `npm run measure`: simulates scenarios, prints their results as
 * tables and writes them to a JSON file.
 */

import { mkdirSync, writeFileSync } from "node:fs";
import { dirname } from "node:path";
import process from "node:process";
import { Deployment } from "@chestnuthatch/standins/work_kinds";
import { Command, InvalidArgumentError, Option } from "commander";
import { measure, type ScenarioMeasurement } from "./measurement.ts";
import { measurePlacement } from "./placement_costs.ts";
import {
  affinityRows,
  brokenPromiseLines,
  overviewRows,
  tierRows,
  totalCount,
} from "./report.ts";
import { Scenario } from "./scenarios.ts";
import { measureSlopes } from "./slopes.ts";
import { formatTable } from "./text_table.ts";

interface MainOptions {
  readonly deployment?: Deployment;
  readonly scenario?: Scenario;
  readonly seeds: number;
  readonly json: string;
  readonly quick?: true;
  readonly affinity: boolean;
  readonly compareAffinity?: true;
  readonly slopes?: true;
  readonly placement?: true;
  readonly maxInstances: number;
}

const DEFAULT_SEEDS = 3;
const DEFAULT_MAX_INSTANCES = 128;
const BROKEN_PROMISE_EXIT_CODE = 1;

const QUICK_SCENARIOS: readonly Scenario[] = [
  Scenario.Calm,
  Scenario.BurstAfterRain,
  Scenario.HolderKilled,
  Scenario.DomainCutOff,
  Scenario.LostAnswers,
];

function main(): void {
  const options = readOptions();
  if (options.slopes) {
    writeJson(options.json, measureSlopes(print, options.maxInstances));
    return;
  }
  if (options.placement) {
    writeJson(options.json, measurePlacement(print));
    return;
  }
  const measurements = measure({
    deployments: options.deployment === undefined
      ? Object.values(Deployment)
      : [options.deployment],
    scenarios: selectScenarios(options),
    seeds: options.quick ? 1 : options.seeds,
    useAffinity: options.affinity,
    compareAffinity: options.compareAffinity === true,
  }, printProgress);
  printReport(measurements);
  writeJson(options.json, { options, measurements });
  const broken = measurements.reduce(
    (sum, { scheduler }) => sum + totalCount(scheduler.broken),
    0,
  );
  print(`Promises broken: ${broken}`);
  process.exitCode = broken === 0 ? 0 : BROKEN_PROMISE_EXIT_CODE;
}

function readOptions(): MainOptions {
  return new Command("measure")
    .addOption(
      new Option("--deployment <name>", "only this deployment")
        .choices(Object.values(Deployment)),
    )
    .addOption(
      new Option("--scenario <name>", "only this scenario")
        .choices(Object.values(Scenario)),
    )
    .option(
      "--seeds <number>",
      "runs of each scenario",
      parseCount,
      DEFAULT_SEEDS,
    )
    .option("--json <file>", "where to write", "measure-out/measure.json")
    .option("--quick", "one seed of a few scenarios")
    .option("--no-affinity", "place without regard to cached prefixes")
    .option("--compare-affinity", "run the scheduler without affinity, too")
    .option("--slopes", "measure the scheduler's own costs instead")
    .option("--placement", "measure the routed form's coordinator instead")
    .option(
      "--max-instances <number>",
      "largest fleet of --slopes",
      parseCount,
      DEFAULT_MAX_INSTANCES,
    )
    .parse()
    .opts<MainOptions>();
}

function parseCount(text: string): number {
  const count = Number(text);
  if (!Number.isInteger(count) || count < 1) {
    throw new InvalidArgumentError("It must be a whole number above 0.");
  }
  return count;
}

function selectScenarios(options: MainOptions): readonly Scenario[] {
  if (options.scenario !== undefined) {
    return [options.scenario];
  }
  return options.quick ? QUICK_SCENARIOS : Object.values(Scenario);
}

function printProgress(measurement: ScenarioMeasurement): void {
  process.stderr.write(
    `${measurement.deployment} ${measurement.scenario}: ` +
      `${totalCount(measurement.scheduler.broken)} promises broken\n`,
  );
}

function printReport(measurements: readonly ScenarioMeasurement[]): void {
  const tables = [
    formatTable(overviewRows(measurements)),
    formatTable(tierRows(measurements)),
    formatTable(affinityRows(measurements)),
    brokenPromiseLines(measurements),
  ];
  for (const lines of tables.filter(({ length }) => length > 0)) {
    print(`${lines.join("\n")}\n`);
  }
}

function print(line: string): void {
  process.stdout.write(`${line}\n`);
}

function writeJson(file: string, content: unknown): void {
  mkdirSync(dirname(file), { recursive: true });
  writeFileSync(file, `${JSON.stringify(content, undefined, 2)}\n`);
}

main();
