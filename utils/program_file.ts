/**
 * The bundled program, run from V8's code cache where there is one: a process
 * that starts again serves sooner, and compiles nothing.
 */

import { existsSync, readFileSync } from "node:fs";
import { createRequire, Module } from "node:module";
import { dirname } from "node:path";
import { Script } from "node:vm";

/** Gives a module what modules are given, and runs it. */
type ModuleBody = (
  exports: unknown,
  require: NodeJS.Require,
  module: { exports: unknown },
  filename: string,
  folder: string,
) => void;

/** One CommonJS file. */
export class ProgramFile {
  readonly #path: string;
  readonly #script: Script;

  /** @param path Its path; its code cache lies beside it. */
  constructor(path: string) {
    this.#path = path;
    const cachePath = codeCachePath(path);
    this.#script = new Script(Module.wrap(readFileSync(path, "utf8")), {
      filename: path,
      // One that another version or other flags made is passed over.
      cachedData: existsSync(cachePath) ? readFileSync(cachePath) : undefined,
    });
  }

  /** Runs it within this process. */
  run(): void {
    const body = this.#script.runInThisContext() as ModuleBody;
    const module = { exports: {} };
    const require = createRequire(this.#path);
    body(module.exports, require, module, this.#path, dirname(this.#path));
  }

  /** @returns Code of what has run by now, for processes to come. */
  codeCache(): Uint8Array {
    return this.#script.createCachedData();
  }
}

/**
 * @param path Path of a program.
 * @returns Path of its code cache.
 */
export function codeCachePath(path: string): string {
  return `${path}.cache`;
}
