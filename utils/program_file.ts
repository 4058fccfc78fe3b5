/**
 * Runs a bundled program from V8's code cache if there is one, so that a
 * restarted process compiles nothing and serves sooner.
 */

import { existsSync, readFileSync } from "node:fs";
import { createRequire, Module } from "node:module";
import { dirname } from "node:path";
import { Script } from "node:vm";

/** The wrapper function of a CommonJS module. */
type ModuleBody = (
  exports: unknown,
  require: NodeJS.Require,
  module: { exports: unknown },
  filename: string,
  folder: string,
) => void;

/** A bundled program in one CommonJS file, with an optional code cache. */
export class ProgramFile {
  readonly #path: string;
  readonly #script: Script;

  /** @param path Path of the program; its code cache is in the same folder. */
  constructor(path: string) {
    this.#path = path;
    const cachePath = codeCachePath(path);
    this.#script = new Script(Module.wrap(readFileSync(path, "utf8")), {
      filename: path,
      // V8 ignores a cache that another version or other flags created.
      cachedData: existsSync(cachePath) ? readFileSync(cachePath) : undefined,
    });
  }

  /** Runs the program within this process. */
  run(): void {
    const body = this.#script.runInThisContext() as ModuleBody;
    const module = { exports: {} };
    const require = createRequire(this.#path);
    body(module.exports, require, module, this.#path, dirname(this.#path));
  }

  /** @returns Code cache of all functions that have been compiled so far. */
  codeCache(): Uint8Array {
    return this.#script.createCachedData();
  }
}

/**
 * Returns the path of the code cache of a program.
 *
 * @param path Path of the program.
 * @returns Path of its code cache, in the same folder.
 */
export function codeCachePath(path: string): string {
  return `${path}.cache`;
}
