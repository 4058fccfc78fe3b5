/**
 * Checks that every source file imports only what the `DEPS.list` of its
 * folder allows, that source files in folders marked `pure` use no clock, timer
 * or randomness, and that there are no import cycles between files.
 *
 * A `DEPS.list` has one entry per line: a package or `node:` module, a relative
 * folder, `test: NAME` for an import that only test files may have, or `pure`.
 */

import { readdirSync, readFileSync, statSync } from "node:fs";
import { dirname, join, relative, resolve } from "node:path";
import process from "node:process";

const ROOTS = ["packages", "platform", "utils", "tests"];
const SKIPPED_FOLDERS = new Set(["dist", "node_modules", "golden"]);
const IMPORT_PATTERN = /\b(?:from\s+|import\s*\(?\s*)"([^"]+)"/g;
const IMPURE_PATTERN =
  /\b(Date\.now|Math\.random|setTimeout|setInterval|performance\.now)\(|new Date\(\)/;

/** Content of a `DEPS.list` file. */
interface DepsList {
  readonly allowed: ReadonlySet<string>;
  readonly allowedInTests: ReadonlySet<string>;
  readonly pure: boolean;
}

function main(): void {
  const files = ROOTS.flatMap(sourceFiles);
  const faults = [...files.flatMap(checkFile), ...importCycles(files)];
  for (const fault of faults) {
    console.error(fault);
  }
  console.log(`layers: ${faults.length} faults`);
  process.exitCode = faults.length === 0 ? 0 : 1;
}

function sourceFiles(folder: string): string[] {
  return readdirSync(folder).flatMap((name) => {
    const path = join(folder, name);
    if (statSync(path).isDirectory()) {
      return SKIPPED_FOLDERS.has(name) ? [] : sourceFiles(path);
    }
    return name.endsWith(".ts") ? [path] : [];
  });
}

function checkFile(path: string): string[] {
  const deps = readDepsList(dirname(path));
  if (deps === undefined) {
    return [`${path}: its folder has no DEPS.list`];
  }
  const text = readFileSync(path, "utf8");
  const isTest = path.endsWith("_test.ts") || path.startsWith("tests/");
  const imports = [...text.matchAll(IMPORT_PATTERN)].map((match) => match[1]!);
  const faults = imports
    .filter((name) => !isAllowed(name, { path, deps, isTest }))
    .map((name) => `${path}: imports ${name}, which its DEPS.list lacks`);
  if (deps.pure && !isTest && IMPURE_PATTERN.test(text)) {
    faults.push(`${path}: uses a clock, timer or randomness in a pure folder`);
  }
  return faults;
}

/** Finds import cycles between files and reports each once. */
function importCycles(files: readonly string[]): string[] {
  const cycles: string[] = [];
  const visited = new Set<string>();
  function visit(file: string, chain: readonly string[]): void {
    if (chain.includes(file)) {
      const cycle = [...chain.slice(chain.indexOf(file)), file];
      cycles.push(`${cycle.join(" -> ")}: import each other`);
    } else if (files.includes(file) && !visited.has(file)) {
      for (const imported of importedFiles(file)) {
        visit(imported, [...chain, file]);
      }
      visited.add(file);
    }
  }
  files.forEach((file) => visit(file, []));
  return cycles;
}

function importedFiles(file: string): string[] {
  return [...readFileSync(file, "utf8").matchAll(IMPORT_PATTERN)]
    .map((match) => match[1]!)
    .filter((name) => name.startsWith("."))
    .map((name) => join(dirname(file), name));
}

function isAllowed(
  name: string,
  of: { path: string; deps: DepsList; isTest: boolean },
): boolean {
  const key = name.startsWith(".")
    ? relative(dirname(of.path), dirname(resolve(dirname(of.path), name)))
    : packageName(name);
  return key === "" || of.deps.allowed.has(key) ||
    (of.isTest && of.deps.allowedInTests.has(key));
}

function packageName(name: string): string {
  if (name.startsWith("node:")) {
    return name;
  }
  const parts = name.split("/");
  return name.startsWith("@") ? parts.slice(0, 2).join("/") : parts[0]!;
}

function readDepsList(folder: string): DepsList | undefined {
  let text: string;
  try {
    text = readFileSync(join(folder, "DEPS.list"), "utf8");
  } catch {
    return undefined;
  }
  const lines = text.split("\n").map((line) => line.trim())
    .filter((line) => line !== "" && !line.startsWith("#"));
  const inTests = lines.filter((line) => line.startsWith("test: "));
  return {
    allowed: new Set(lines.filter((line) => !line.startsWith("test: "))),
    allowedInTests: new Set(inTests.map((line) => line.slice(6))),
    pure: lines.includes("pure"),
  };
}

main();
